package umberrun.config;

import com.google.gson.JsonObject;
import io.vertx.core.net.SocketAddress;
import umberrun.config.Config.BadConfig;
import umberrun.core.Invocations.Bounds;

/** The operator's own file: whether and where the invoke API listens, and which Consul it works with. */
public record OperatorFile(SocketAddress invoke, Bounds deferred, Consul consul) {

  /** The agent, the name that we register under, and the name whose instances are our workers (or empty). */
  public record Consul(SocketAddress agent, String service, String workers, long waitMillis) { }

  /** Whether the list of workers comes from Consul. */
  public boolean listsWorkers() {
    return consul != null && !consul.workers.isEmpty();
  }

  static OperatorFile read(JsonObject o) throws BadConfig {
    JsonObject invoke = part(o, "invoke");
    JsonObject consul = part(o, "consul");
    JsonObject deferred = part(o, "deferred");
    if (consul.has("agent") && !invoke.has("listen")) {
      throw new BadConfig("consul needs invoke.listen: the check that is registered lies there");
    }
    return new OperatorFile(
        invoke.has("listen") ? Config.address(invoke.get("listen").getAsString(), "invoke.listen") : null,
        new Bounds((int) figure(deferred, "queue", 1_000), (int) figure(deferred, "in_hand", 64),
            (int) figure(deferred, "results", 4_096), figure(deferred, "result_bytes", 8 << 20),
            figure(deferred, "keep_ms", 60_000)),
        consul.has("agent") ? new Consul(Config.address(consul.get("agent").getAsString(), "consul.agent"),
            consul.has("service") ? consul.get("service").getAsString() : "umberrun",
            consul.has("workers") ? consul.get("workers").getAsString() : "",
            figure(consul, "wait_ms", 30_000)) : null);
  }

  private static JsonObject part(JsonObject o, String key) throws BadConfig {
    if (o.has(key) && !o.get(key).isJsonObject()) {
      throw new BadConfig(key + " in the operator's file is not an object");
    }
    return o.has(key) ? o.getAsJsonObject(key) : new JsonObject();
  }

  private static long figure(JsonObject o, String key, long otherwise) throws BadConfig {
    long value = o.has(key) ? o.get(key).getAsLong() : otherwise;
    if (value <= 0) {
      throw new BadConfig(key + " in the operator's file must be above 0");
    }
    return value;
  }
}
