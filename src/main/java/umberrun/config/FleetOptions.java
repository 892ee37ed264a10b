package umberrun.config;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import umberrun.config.Config.InvalidConfig;

/**
 * The section {@code fleet} of the operator's file, read only where it stands there.
 *
 * @param listen where this one hears others of its fleet, by datagrams and connections
 * @param advertise what others are told of that, where they reach it by another address
 * @param via other ways to some addresses, as through a gateway
 * @param consul whether members are looked for among the instances of the own service
 * @param packetsPerSecond datagrams, each way, beyond which they are dropped
 * @param bytesPerSecond the same in bytes, full exchanges included
 */
public record FleetOptions(
    String name,
    SocketAddress listen,
    String advertise,
    List<String> join,
    Map<String, String> via,
    boolean consul,
    String release,
    long intervalMillis,
    long timeoutMillis,
    long exchangeMillis,
    long reconnectMillis,
    long sureMillis,
    long forgetMillis,
    long settleMillis,
    int members,
    long packetsPerSecond,
    long bytesPerSecond) {

  private static final Set<String> KEYS =
      Set.of(
          "name",
          "listen",
          "advertise",
          "join",
          "via",
          "consul",
          "release",
          "interval_ms",
          "timeout_ms",
          "exchange_ms",
          "reconnect_ms",
          "sure_ms",
          "forget_ms",
          "settle_ms",
          "members",
          "packets_per_s",
          "bytes_per_s");
  private static final int MOST_NAME = 64;
  private static final int MOST_MEMBERS = 4_096;

  static FleetOptions read(JsonObject o) throws InvalidConfig {
    for (String key : o.keySet()) {
      if (!KEYS.contains(key)) {
        throw new InvalidConfig("fleet." + key + " is not known");
      }
    }
    String name = text(o, "name");
    if (name.isEmpty() || name.length() > MOST_NAME) {
      throw new InvalidConfig(
          "fleet.name must be 1 to "
              + MOST_NAME
              + " characters: members of other fleets are not spoken with");
    }
    if (!o.has("listen")) {
      throw new InvalidConfig("fleet needs fleet.listen: other members speak to it there");
    }
    List<String> join = new ArrayList<>();
    if (o.has("join")) {
      if (!o.get("join").isJsonArray()) {
        throw new InvalidConfig("fleet.join must be a list of addresses");
      }
      for (JsonElement e : o.getAsJsonArray("join")) {
        join.add(checked(e.getAsString(), "fleet.join"));
      }
    }
    Map<String, String> via = new LinkedHashMap<>();
    for (Map.Entry<String, JsonElement> e : OperatorFile.part(o, "via").entrySet()) {
      via.put(checked(e.getKey(), "fleet.via"), checked(e.getValue().getAsString(), "fleet.via"));
    }
    FleetOptions options =
        new FleetOptions(
            name,
            Config.address(text(o, "listen"), "fleet.listen"),
            o.has("advertise") ? checked(text(o, "advertise"), "fleet.advertise") : "",
            List.copyOf(join),
            Map.copyOf(via),
            o.has("consul") && o.get("consul").getAsBoolean(),
            text(o, "release"),
            figure(o, "interval_ms", 500),
            figure(o, "timeout_ms", 200),
            figure(o, "exchange_ms", 10_000),
            figure(o, "reconnect_ms", 2_000),
            figure(o, "sure_ms", 60_000),
            figure(o, "forget_ms", 3_600_000),
            figure(o, "settle_ms", 5_000),
            (int) figure(o, "members", 1_024),
            figure(o, "packets_per_s", 400),
            figure(o, "bytes_per_s", 262_144));
    if (options.timeoutMillis > options.intervalMillis / 2) {
      throw new InvalidConfig(
          "fleet.timeout_ms must be half of fleet.interval_ms at the most: others are asked in the rest");
    }
    if (options.members > MOST_MEMBERS || options.release.length() > MOST_NAME) {
      throw new InvalidConfig(
          "fleet.members must be "
              + MOST_MEMBERS
              + " and fleet.release "
              + MOST_NAME
              + " characters at the most");
    }
    return options;
  }

  private static String checked(String address, String field) throws InvalidConfig {
    SocketAddress a = Config.address(address, field);
    if (a.port() == 0 || address.length() > MOST_NAME) {
      throw new InvalidConfig(field + " names no port that others can reach: '" + address + "'");
    }
    return address;
  }

  private static String text(JsonObject o, String key) {
    return o.has(key) ? o.get(key).getAsString() : "";
  }

  private static long figure(JsonObject o, String key, long otherwise) throws InvalidConfig {
    return OperatorFile.figure(o, key, "fleet." + key, otherwise);
  }
}
