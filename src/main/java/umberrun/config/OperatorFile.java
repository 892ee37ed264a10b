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
 * The operator's own file: whether and where the invoke API listens, which Consul it works with,
 * whom to learn from, which fleet it is of, which duties there are.
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
   * The agent, the name that we register under, and the name whose instances are our workers (or
   * empty).
   */
  public record ConsulOptions(
      SocketAddress agent, String service, String workers, long waitMillis) {}

  /** Whether the list of workers comes from Consul. */
  public boolean listsWorkers() {
    return consul != null && !consul.workers.isEmpty();
  }

  static OperatorFile read(JsonObject o) throws InvalidConfig {
    JsonObject invoke = part(o, "invoke");
    JsonObject consul = part(o, "consul");
    JsonObject deferred = part(o, "deferred");
    if (consul.has("agent") && !invoke.has("listen")) {
      throw new InvalidConfig(
          "consul needs invoke.listen: the check that is registered lies there");
    }
    FleetOptions fleet = fleet(o, consul);
    LeaseOptions leases = o.has("leases") ? LeaseOptions.read(part(o, "leases"), fleet) : null;
    return new OperatorFile(
        invoke.has("listen")
            ? Config.address(invoke.get("listen").getAsString(), "invoke.listen")
            : null,
        new Limits(
            (int) figure(deferred, "queue", 1_000),
            (int) figure(deferred, "in_hand", 64),
            (int) figure(deferred, "results", 4_096),
            figure(deferred, "result_bytes", 8 << 20),
            figure(deferred, "keep_ms", 60_000)),
        consul.has("agent")
            ? new ConsulOptions(
                Config.address(consul.get("agent").getAsString(), "consul.agent"),
                consul.has("service") ? consul.get("service").getAsString() : "umberrun",
                consul.has("workers") ? consul.get("workers").getAsString() : "",
                figure(consul, "wait_ms", 30_000))
            : null,
        learning(part(o, "learning")),
        fleet,
        leases,
        o.has("works") ? WorksOptions.read(part(o, "works"), leases) : null);
  }

  /**
   * Null where it is off. Whoever asks others is to be asked too, so that there is somebody to ask.
   */
  private static FactClient.Settings learning(JsonObject o) throws InvalidConfig {
    if (o.isEmpty()) {
      return null;
    }
    if (!o.has("listen")) {
      throw new InvalidConfig("learning needs learning.listen: other instances ask there");
    }
    List<SocketAddress> peers = new ArrayList<>();
    if (o.has("peers")) {
      if (!o.get("peers").isJsonArray()) {
        throw new InvalidConfig("learning.peers must be a list of addresses");
      }
      for (JsonElement e : o.getAsJsonArray("peers")) {
        peers.add(Config.address(e.getAsString(), "learning.peers"));
      }
    }
    return new FactClient.Settings(
        Config.address(o.get("listen").getAsString(), "learning.listen"),
        List.copyOf(peers),
        figure(o, "deadline_ms", 400),
        (int) figure(o, "page_bytes", 65_536),
        figure(o, "bytes_per_s", 524_288));
  }

  /** Null where it is off. */
  private static FleetOptions fleet(JsonObject o, JsonObject consul) throws InvalidConfig {
    if (!o.has("fleet")) {
      return null;
    }
    FleetOptions fleet = FleetOptions.read(part(o, "fleet"));
    if (fleet.consul() && !consul.has("agent")) {
      throw new InvalidConfig("fleet.consul needs consul.agent");
    }
    return fleet;
  }

  static JsonObject part(JsonObject o, String key) throws InvalidConfig {
    if (o.has(key) && !o.get(key).isJsonObject()) {
      throw new InvalidConfig(key + " in the operator's file is not an object");
    }
    return o.has(key) ? o.getAsJsonObject(key) : new JsonObject();
  }

  private static long figure(JsonObject o, String key, long otherwise) throws InvalidConfig {
    return figure(o, key, key, otherwise);
  }

  /**
   * @param said how the key is named to the operator
   */
  static long figure(JsonObject o, String key, String said, long otherwise) throws InvalidConfig {
    long value = o.has(key) ? o.get(key).getAsLong() : otherwise;
    if (value <= 0) {
      throw new InvalidConfig(said + " in the operator's file must be above 0");
    }
    return value;
  }
}
