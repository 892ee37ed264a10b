package umberrun.workerlist;

import static umberrun.workerlist.JsonFields.indexOf;
import static umberrun.workerlist.JsonFields.number;
import static umberrun.workerlist.JsonFields.object;
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
 * Follows the list of workers in Consul. Blocking queries on the health API return the instances of
 * one service with their checks; the catalog holds their zone, kind and start time as metadata. An
 * instance with a critical check is draining, and an absent instance has left the list. The front
 * end registers itself as a service with an HTTP check on its health path.
 */
public final class ConsulSource implements WorkerListSource {
  private static final String INDEX_HEADER = "X-Consul-Index";
  private static final String FLEET_META_KEY = "fleet";
  private static final long REQUEST_TIMEOUT_MILLIS = 2_000;

  /**
   * The longest wait of a blocking query. Until the query returns, a Consul without changes cannot
   * be told from one that is unreachable.
   */
  private static final long MAX_WAIT_MILLIS = 1_000;

  /** Consul may lengthen the wait by a random part of up to a sixteenth. */
  private static final long JITTER_DIVISOR = 16;

  private final LongPoller poller;
  private final DispatchLoop dispatchLoop;
  private final SettingNames names;
  private final OperatorFile.ConsulOptions settings;

  /** The id under which the front end is registered as a service. */
  private final String id;

  private final SocketAddress invokeAddress;
  private final Counters counters;
  private final Clock clock;

  /** The address at which other front ends reach this one, or empty if there is none. */
  private String fleetAddress = "";

  /** The Consul index of the list applied last; 0 before the first list and after a reset. */
  private long index;

  /**
   * @param names the zones and kinds of the settings, whose order gives their indexes
   * @param name the name of this front end, part of its service id
   * @param invokeAddress the listening address of the invoke API, which serves the health path
   */
  public ConsulSource(
      Vertx vertx,
      DispatchLoop dispatchLoop,
      Clock clock,
      SettingNames names,
      OperatorFile.ConsulOptions settings,
      String name,
      SocketAddress invokeAddress,
      Counters counters) {
    this.dispatchLoop = dispatchLoop;
    this.clock = clock;
    this.names = names;
    this.settings = settings;
    this.id = settings.service() + "-" + name;
    this.invokeAddress = invokeAddress;
    this.counters = counters;
    this.poller = new LongPoller(vertx, settings.agent(), counters);
  }

  @Override
  public void start() {
    poller.runUntilSuccess(this::register);
    if (!settings.workers().isEmpty()) {
      poller.repeat(waitMillis() + waitMillis() / JITTER_DIVISOR, this::poll);
    }
  }

  @Override
  public void deregister() {
    poller.request(
        HttpMethod.PUT,
        "/v1/agent/service/deregister/" + encoded(id),
        Buffer.buffer(),
        REQUEST_TIMEOUT_MILLIS);
  }

  /** Publishes in the catalog the address at which other front ends reach this one. */
  public void announce(String address) {
    fleetAddress = address;
    poller.runUntilSuccess(this::register);
  }

  /** Returns the addresses that the instances of this service have published in the catalog. */
  public Future<List<String>> peerAddresses() {
    return poller
        .request(
            HttpMethod.GET,
            "/v1/catalog/service/" + encoded(settings.service()),
            Buffer.buffer(),
            REQUEST_TIMEOUT_MILLIS)
        .map(
            catalog -> {
              List<String> addresses = new ArrayList<>();
              for (JsonElement e : catalog.json().getAsJsonArray()) {
                String address = metadata(e.getAsJsonObject(), FLEET_META_KEY);
                if (!address.isEmpty()) {
                  addresses.add(address);
                }
              }
              return addresses;
            });
  }

  private Future<Void> register() {
    JsonObject check = new JsonObject();
    check.addProperty(
        "HTTP", "http://" + invokeAddress.host() + ":" + invokeAddress.port() + "/v1/health");
    check.addProperty("Interval", "2s");
    check.addProperty("Timeout", "1s");
    check.addProperty("DeregisterCriticalServiceAfter", "1m");
    JsonObject service = new JsonObject();
    service.addProperty("ID", id);
    service.addProperty("Name", settings.service());
    service.addProperty("Address", invokeAddress.host());
    service.addProperty("Port", invokeAddress.port());
    service.add("Check", check);
    if (!fleetAddress.isEmpty()) {
      JsonObject meta = new JsonObject();
      meta.addProperty(FLEET_META_KEY, fleetAddress);
      service.add("Meta", meta);
    }
    return poller
        .request(
            HttpMethod.PUT,
            "/v1/agent/service/register",
            Buffer.buffer(service.toString()),
            REQUEST_TIMEOUT_MILLIS)
        .mapEmpty();
  }

  private long waitMillis() {
    return Math.min(MAX_WAIT_MILLIS, settings.waitMillis());
  }

  private Future<Void> poll() {
    String service = encoded(settings.workers());
    long requestedAt = clock.now();
    return poller
        .request(
            HttpMethod.GET,
            "/v1/health/service/" + service + "?index=" + index + "&wait=" + waitMillis() + "ms",
            Buffer.buffer(),
            waitMillis() + waitMillis() / JITTER_DIVISOR + LongPoller.LATE_RESPONSE_MILLIS)
        .compose(health -> apply(service, health))
        .onSuccess(v -> dispatchLoop.discovery().onResponse(requestedAt));
  }

  private Future<Void> apply(String service, LongPoller.Response health) {
    long newIndex = Long.parseLong(String.valueOf(health.httpResponse().getHeader(INDEX_HEADER)));
    // An unchanged index means that the wait ended without a change of the list.
    if (newIndex == index) {
      return Future.succeededFuture();
    }
    return poller
        .request(
            HttpMethod.GET,
            "/v1/catalog/service/" + service,
            Buffer.buffer(),
            REQUEST_TIMEOUT_MILLIS)
        .map(
            catalog -> {
              JsonArray instances = health.json().getAsJsonArray();
              List<Endpoint> endpoints = endpoints(instances, catalog.json());
              // A list with a malformed instance is applied as a delta: as a full list, it would
              // remove the worker of that instance.
              boolean complete = endpoints.size() == instances.size();
              dispatchLoop.updateWorkers(
                  !complete ? ListKind.DELTA : index == 0 ? ListKind.CACHED : ListKind.FULL,
                  endpoints);
              // An index that went back means that Consul's state was reset: start over.
              index = newIndex < index ? 0 : newIndex;
              return null;
            });
  }

  private List<Endpoint> endpoints(JsonArray health, JsonElement catalog) {
    Map<String, JsonObject> entries = new HashMap<>();
    for (JsonElement e : catalog.getAsJsonArray()) {
      entries.put(text(e.getAsJsonObject(), "ServiceID"), e.getAsJsonObject());
    }
    return JsonFields.readEndpoints(
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
              indexOf(names.zones(), metadata(entry, "zone")),
              indexOf(names.kinds(), metadata(entry, "kind")),
              0,
              state(instance),
              1,
              startedAtMicros(metadata(entry, "since_ms")));
        },
        counters);
  }

  /** Returns the metadata of the instance or, if it has none for the key, of its node. */
  private static String metadata(JsonObject entry, String key) {
    String own = text(object(entry, "ServiceMeta"), key);
    return own.isEmpty() ? text(object(entry, "NodeMeta"), key) : own;
  }

  private static long startedAtMicros(String millis) {
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
