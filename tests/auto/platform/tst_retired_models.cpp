#include "gateway_fixture.hpp"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace
{

using namespace pomelorouter; // NOLINT(google-build-using-namespace): test file
using test::gateway_fixture;
using test::raw_reply;
using test::response_text;

/// Engine that carries out each order at once.
class obedient_engine
{
public:
    explicit obedient_engine(std::vector<std::string> held) : models(std::move(held)) {}

    raw_reply reply(const transport::http_request& request)
    {
        if (request.target() == "/pomelorouter/report")
            return {{response_text("200 OK", "", this->report())}};
        if (request.target() != "/pomelorouter/order")
            return {{response_text("404 Not Found", "", "")}};
        const boost::json::object order = boost::json::parse(request.body()).as_object();
        const std::string operation(order.at("Operation").as_string());
        const std::string model(order.at("Model").as_string());
        this->orders.push_back(operation + ":" + model);
        ++this->sequence;
        std::erase(this->models, model);
        if (operation == "loading")
            this->models.push_back(model);
        return {{response_text("202 Accepted", "", "")}};
    }

    std::vector<std::string> orders;

private:
    std::string report() const
    {
        boost::json::array held;
        for (const std::string& model : this->models)
        {
            held.push_back(boost::json::object{
                {"Name", model}, {"Version", 1}, {"Adapters", boost::json::array()}});
        }
        return boost::json::serialize(boost::json::object{
            {"Sequence", this->sequence}, {"Busy", false}, {"Models", held}});
    }

    std::vector<std::string> models;
    int sequence = 0;
};

} // namespace

// Guards against a gateway that has just started and orders an engine to load beyond its
// memory, since it does not know the size of a model that was retired before.
TEST_CASE("an engine unloads a model of unknown size before it loads another")
{
    gateway_fixture test;
    test.put_config(1, 5000, 2, 800, 0);
    obedient_engine engine({"old"});
    test.add_backend("e1", "models",
                     [&engine](const transport::http_request& request)
                     { return engine.reply(request); },
                     {"old"});
    test.start();
    test.run_until([&engine] { return engine.orders.size() >= 2; });
    CHECK(engine.orders[0] == "unloading:old");
    CHECK(engine.orders[1] == "loading:m1");
}

// Guards against an order beyond the memory of an engine whose model was loaded with the
// larger size of an earlier configuration.
TEST_CASE("a model that became smaller keeps its size on an engine")
{
    gateway_fixture test;
    test.put_config(1, 5000, 2, 800, 0);
    obedient_engine full({"large"});
    obedient_engine empty({});
    test.add_backend("e1", "models",
                     [&full](const transport::http_request& request)
                     { return full.reply(request); },
                     {"large"});
    test.add_backend("e2", "models",
                     [&empty](const transport::http_request& request)
                     { return empty.reply(request); });
    test.start();
    // Nothing is loaded before the list of engines is stable.
    test.run_until([&test] { return test.counters.value("placement_plans_total") >= 3; });
    test.large_model_mb = 100000.0;
    test.put_config(2, 6000, 2, 800, 0);
    test.run_until(
        [&test] { return test.gateway->shared_state().routes->config().version == 2; });
    REQUIRE(empty.orders.empty());
    const auto loads_m1 = [](const obedient_engine& engine)
    {
        return std::find(engine.orders.begin(), engine.orders.end(), "loading:m1") !=
               engine.orders.end();
    };
    test.run_until([&] { return loads_m1(full) || loads_m1(empty); });
    CHECK_FALSE(loads_m1(full));
}
