package umberrun.config;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import umberrun.config.Config.InvalidConfig;
import umberrun.core.InvocationRegistry.Limits;
import umberrun.learning.net.FactClient;

/**
 * The operator's file, which enables the optional features. A feature whose section is absent is
 * disabled.
 *
 * @param invoke address of the HTTP invoke API, or null if it is disabled
 * @param deferred limits of asynchronous invocations
 * @param consul the Consul agent to register with, or null if there is none
 * @param learning the exchange of facts with other front ends, or null if it is disabled
 * @param fleet the fleet membership, or null if it is disabled
 * @param leases the leases on duties, or null if they are disabled
 * @param works the maintenance plans, or null if they are disabled
 */
public record OperatorFile(
    SocketAddress invoke,
    Limits deferred,
    ConsulOptions consul,
    FactClient.Settings learning,
    FleetOptions fleet,
    LeaseOptions leases,
    WorksOptions works) {

  /**
   * The section {@code consul}.
   *
   * @param agent address of the Consul agent
   * @param service name of the service that this front end registers as
   * @param workers name of the service whose instances are the workers, empty if the worker list
   *     does not come from Consul
   * @param waitMillis maximum duration of a blocking query
   */
  public record ConsulOptions(
      SocketAddress agent, String service, String workers, long waitMillis) {}

  /** Whether the worker list comes from Consul. */
  public boolean listsWorkers() {
    return consul != null && !consul.workers.isEmpty();
  }

  /** Parses and checks the file. */
  static OperatorFile read(JsonObject root) throws InvalidConfig {
    JsonObject invoke = section(root, "invoke");
    JsonObject consul = section(root, "consul");
    JsonObject deferred = section(root, "deferred");
    if (consul.has("agent") && !invoke.has("listen")) {
      throw new InvalidConfig(
          "consul needs invoke.listen: the registered health check is served there");
    }
    FleetOptions fleet = fleet(root, consul);
    LeaseOptions leases =
        root.has("leases") ? LeaseOptions.read(section(root, "leases"), fleet) : null;
    return new OperatorFile(
        invoke.has("listen")
            ? Config.address(invoke.get("listen").getAsString(), "invoke.listen")
            : null,
        new Limits(
            (int) positive(deferred, "queue", 1_000),
            positive(deferred, "queue_bytes", 4 << 20),
            (int) positive(deferred, "in_hand", 64),
            (int) positive(deferred, "results", 4_096),
            positive(deferred, "result_bytes", 8 << 20),
            positive(deferred, "keep_ms", 60_000)),
        consul.has("agent")
            ? new ConsulOptions(
                Config.address(consul.get("agent").getAsString(), "consul.agent"),
                consul.has("service") ? consul.get("service").getAsString() : "umberrun",
                consul.has("workers") ? consul.get("workers").getAsString() : "",
                positive(consul, "wait_ms", 30_000))
            : null,
        learning(section(root, "learning")),
        fleet,
        leases,
        root.has("works") ? WorksOptions.read(section(root, "works"), leases) : null);
  }

  /**
   * Parses the section {@code learning}; null if it is absent. The address to listen on is
   * mandatory, so that every front end that fetches facts also serves them.
   */
  private static FactClient.Settings learning(JsonObject section) throws InvalidConfig {
    if (section.isEmpty()) {
      return null;
    }
    if (!section.has("listen")) {
      throw new InvalidConfig("learning needs learning.listen: the address for other front ends");
    }
    List<SocketAddress> peers = new ArrayList<>();
    if (section.has("peers")) {
      if (!section.get("peers").isJsonArray()) {
        throw new InvalidConfig("learning.peers must be a list of addresses");
      }
      for (JsonElement e : section.getAsJsonArray("peers")) {
        peers.add(Config.address(e.getAsString(), "learning.peers"));
      }
    }
    return new FactClient.Settings(
        Config.address(section.get("listen").getAsString(), "learning.listen"),
        List.copyOf(peers),
        positive(section, "deadline_ms", 400),
        (int) positive(section, "page_bytes", 65_536),
        positive(section, "bytes_per_s", 524_288));
  }

  /** Parses the section {@code fleet}; null if it is absent. */
  private static FleetOptions fleet(JsonObject root, JsonObject consul) throws InvalidConfig {
    if (!root.has("fleet")) {
      return null;
    }
    FleetOptions fleet = FleetOptions.read(section(root, "fleet"));
    if (fleet.consul() && !consul.has("agent")) {
      throw new InvalidConfig("fleet.consul needs consul.agent");
    }
    return fleet;
  }

  /** Returns a section of the file, empty if it is absent. */
  static JsonObject section(JsonObject o, String key) throws InvalidConfig {
    if (o.has(key) && !o.get(key).isJsonObject()) {
      throw new InvalidConfig(key + " in the operator's file is not a JSON object");
    }
    return o.has(key) ? o.getAsJsonObject(key) : new JsonObject();
  }

  private static long positive(JsonObject o, String key, long defaultValue) throws InvalidConfig {
    return positive(o, key, key, defaultValue);
  }

  /**
   * Returns a number that must be above 0.
   *
   * @param displayName name of the key in the error message
   * @param defaultValue returned if the key is absent
   */
  static long positive(JsonObject o, String key, String displayName, long defaultValue)
      throws InvalidConfig {
    long value = o.has(key) ? o.get(key).getAsLong() : defaultValue;
    if (value <= 0) {
      throw new InvalidConfig(displayName + " in the operator's file must be above 0");
    }
    return value;
  }
}
