package umberrun.workerlist;

import static umberrun.workerlist.JsonFields.number;
import static umberrun.workerlist.JsonFields.object;
import static umberrun.workerlist.JsonFields.place;
import static umberrun.workerlist.JsonFields.text;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.SocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import saddlestall.Dispatcher.ListKind;
import saddlestall.Dispatcher.WorkerState;
import umberrun.config.Config.SettingNames;
import umberrun.config.OperatorFile;
import umberrun.core.Clock;
import umberrun.core.DispatchLoop;
import umberrun.core.Endpoint;
import umberrun.stats.Counters;

/**
 * Consul as the source of the list: the instances of one service and their checks by blocking
 * queries on the health API; their zone, kind and start, as metadata, from the catalogue. A
 * critical instance drains, one that is absent is gone. The front end itself is registered with a
 * check on its health path.
 */
public final class ConsulSource implements WorkerListSource {
  private static final String INDEX = "X-Consul-Index";
  private static final String FLEET = "fleet";
  private static final long SHORT_MILLIS = 2_000;

  /**
   * A query waits no longer for news: until it is answered there is no telling a quiet Consul from
   * one that is out of reach.
   */
  private static final long MOST_WAIT_MILLIS = 1_000;

  private final LongPoller poller;
  private final DispatchLoop owner;
  private final SettingNames names;
  private final OperatorFile.ConsulOptions settings;
  private final String id;
  private final SocketAddress invoke;
  private final Counters counters;
  private final Clock clock;

  /** Where other front ends reach this one, or empty. */
  private String fleet = "";

  private long index;

  /**
   * @param invoke where the invoke API listens, and so its health check
   */
  public ConsulSource(
      Vertx vertx,
      DispatchLoop owner,
      Clock clock,
      SettingNames names,
      OperatorFile.ConsulOptions settings,
      String name,
      SocketAddress invoke,
      Counters counters) {
    this.owner = owner;
    this.clock = clock;
    this.names = names;
    this.settings = settings;
    this.id = settings.service() + "-" + name;
    this.invoke = invoke;
    this.counters = counters;
    this.poller = new LongPoller(vertx, settings.agent(), counters);
  }

  @Override
  public void start() {
    poller.once(this::register);
    if (!settings.workers().isEmpty()) {
      poller.repeat(waitMillis() + waitMillis() / 16, this::poll);
    }
  }

  @Override
  public void deregister() {
    poller.ask(
        HttpMethod.PUT,
        "/v1/agent/service/deregister/" + encoded(id),
        Buffer.buffer(),
        SHORT_MILLIS);
  }

  /** Tells others in the catalogue where they reach this front end. */
  public void announce(String address) {
    fleet = address;
    poller.once(this::register);
  }

  /** Where the other instances of the own service say that they are reached. */
  public Future<List<String>> peerAddresses() {
    return poller
        .ask(
            HttpMethod.GET,
            "/v1/catalog/service/" + encoded(settings.service()),
            Buffer.buffer(),
            SHORT_MILLIS)
        .map(
            catalogue -> {
              List<String> found = new ArrayList<>();
              for (JsonElement e : catalogue.json().getAsJsonArray()) {
                String at = meta(e.getAsJsonObject(), FLEET);
                if (!at.isEmpty()) {
                  found.add(at);
                }
              }
              return found;
            });
  }

  private Future<Void> register() {
    JsonObject check = new JsonObject();
    check.addProperty("HTTP", "http://" + invoke.host() + ":" + invoke.port() + "/v1/health");
    check.addProperty("Interval", "2s");
    check.addProperty("Timeout", "1s");
    check.addProperty("DeregisterCriticalServiceAfter", "1m");
    JsonObject service = new JsonObject();
    service.addProperty("ID", id);
    service.addProperty("Name", settings.service());
    service.addProperty("Address", invoke.host());
    service.addProperty("Port", invoke.port());
    service.add("Check", check);
    if (!fleet.isEmpty()) {
      JsonObject meta = new JsonObject();
      meta.addProperty(FLEET, fleet);
      service.add("Meta", meta);
    }
    return poller
        .ask(
            HttpMethod.PUT,
            "/v1/agent/service/register",
            Buffer.buffer(service.toString()),
            SHORT_MILLIS)
        .mapEmpty();
  }

  private long waitMillis() {
    return Math.min(MOST_WAIT_MILLIS, settings.waitMillis());
  }

  private Future<Void> poll() {
    String service = encoded(settings.workers());
    long askedAt = clock.now();
    return poller
        .ask(
            HttpMethod.GET,
            "/v1/health/service/" + service + "?index=" + index + "&wait=" + waitMillis() + "ms",
            Buffer.buffer(),
            waitMillis() + waitMillis() / 16 + LongPoller.LATE_MILLIS)
        .compose(health -> take(service, health))
        .onSuccess(v -> owner.discovery().onResponse(askedAt));
  }

  private Future<Void> take(String service, LongPoller.Answer health) {
    long next = Long.parseLong(String.valueOf(health.response().getHeader(INDEX)));
    if (next == index) { // the wait ran out: nothing has changed
      return Future.succeededFuture();
    }
    return poller
        .ask(HttpMethod.GET, "/v1/catalog/service/" + service, Buffer.buffer(), SHORT_MILLIS)
        .map(
            catalogue -> {
              JsonArray lines = health.json().getAsJsonArray();
              List<Endpoint> endpoints = endpoints(lines, catalogue.json());
              boolean whole =
                  endpoints.size()
                      == lines
                          .size(); // as with the change log, a list with an unreadable line is not
              // whole
              owner.updateWorkers(
                  !whole ? ListKind.DELTA : index == 0 ? ListKind.CACHED : ListKind.FULL,
                  endpoints);
              index =
                  next < index ? 0 : next; // an index that went back means a new state: start over
              return null;
            });
  }

  private List<Endpoint> endpoints(JsonArray health, JsonElement catalogue) {
    Map<String, JsonObject> entries = new HashMap<>();
    for (JsonElement e : catalogue.getAsJsonArray()) {
      entries.put(text(e.getAsJsonObject(), "ServiceID"), e.getAsJsonObject());
    }
    return JsonFields.each(
        health,
        instance -> {
          JsonObject service = object(instance, "Service");
          JsonObject entry = entries.getOrDefault(text(service, "ID"), new JsonObject());
          String address = text(service, "Address");
          String host = address.isEmpty() ? text(object(instance, "Node"), "Address") : address;
          return new Endpoint(
              text(service, "ID"),
              host,
              (int) number(service, "Port"),
              place(names.zones(), meta(entry, "zone")),
              place(names.kinds(), meta(entry, "kind")),
              0,
              state(instance),
              1,
              start(meta(entry, "since_ms")));
        },
        counters);
  }

  /** What the instance says of itself, or else its node. */
  private static String meta(JsonObject entry, String key) {
    String own = text(object(entry, "ServiceMeta"), key);
    return own.isEmpty() ? text(object(entry, "NodeMeta"), key) : own;
  }

  private static long start(String millis) {
    return millis.isEmpty() ? 0 : Long.parseLong(millis) * 1_000;
  }

  private static WorkerState state(JsonObject instance) {
    for (JsonElement check : instance.getAsJsonArray("Checks")) {
      if (text(check.getAsJsonObject(), "Status").equals("critical")) {
        return WorkerState.DRAINING;
      }
    }
    return WorkerState.READY;
  }

  private static String encoded(String part) {
    return URLEncoder.encode(part, StandardCharsets.UTF_8).replace("+", "%20");
  }
}
