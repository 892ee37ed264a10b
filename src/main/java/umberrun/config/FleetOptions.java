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
 * The optional section {@code fleet} of the operator's file: how this front end takes part in the
 * fleet's membership protocol.
 *
 * @param name name of the fleet; members of other fleets are ignored
 * @param listen address for datagrams and connections of other members
 * @param advertise address under which other members reach this one, empty if it is {@code listen}
 * @param join addresses of members to contact first
 * @param via by the address of a member, another address to reach it by, for example a gateway
 * @param consul whether other members are also looked up in Consul, as instances of the same
 *     service
 * @param release release of this front end, shown to the other members; may be empty
 * @param intervalMillis time between two probes of other members
 * @param timeoutMillis how long the answer to a direct probe is awaited
 * @param exchangeMillis time between two full exchanges of the membership state
 * @param reconnectMillis time between two attempts to reach members that are not reachable
 * @param deadConfirmationMillis how long a member must have been dead before a refused connection
 *     proves that it is gone
 * @param deadRetentionMillis how long a dead member is kept in the list; no network partition is
 *     expected to last longer
 * @param propagationMillis time within which a change reaches every member
 * @param maxMembers maximum number of known members, including dead ones
 * @param packetsPerSecond limit of datagrams in each direction; datagrams above it are dropped
 * @param bytesPerSecond limit of bytes in each direction, including full exchanges
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
    long deadConfirmationMillis,
    long deadRetentionMillis,
    long propagationMillis,
    int maxMembers,
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
  private static final int MAX_NAME_LENGTH = 64;
  private static final int MAX_MEMBERS = 4_096;

  /** Parses and checks the section. */
  static FleetOptions read(JsonObject section) throws InvalidConfig {
    for (String key : section.keySet()) {
      if (!KEYS.contains(key)) {
        throw new InvalidConfig("fleet." + key + " is not a known key");
      }
    }
    String name = text(section, "name");
    if (name.isEmpty() || name.length() > MAX_NAME_LENGTH) {
      throw new InvalidConfig(
          "fleet.name must be 1 to "
              + MAX_NAME_LENGTH
              + " characters; members of other fleets are ignored");
    }
    if (!section.has("listen")) {
      throw new InvalidConfig(
          "fleet needs fleet.listen: the address for other members of the fleet");
    }
    List<String> join = new ArrayList<>();
    if (section.has("join")) {
      if (!section.get("join").isJsonArray()) {
        throw new InvalidConfig("fleet.join must be a list of addresses");
      }
      for (JsonElement e : section.getAsJsonArray("join")) {
        join.add(reachable(e.getAsString(), "fleet.join"));
      }
    }
    Map<String, String> via = new LinkedHashMap<>();
    for (Map.Entry<String, JsonElement> e : OperatorFile.section(section, "via").entrySet()) {
      via.put(
          reachable(e.getKey(), "fleet.via"), reachable(e.getValue().getAsString(), "fleet.via"));
    }
    FleetOptions options =
        new FleetOptions(
            name,
            Config.address(text(section, "listen"), "fleet.listen"),
            section.has("advertise")
                ? reachable(text(section, "advertise"), "fleet.advertise")
                : "",
            List.copyOf(join),
            Map.copyOf(via),
            section.has("consul") && section.get("consul").getAsBoolean(),
            text(section, "release"),
            positive(section, "interval_ms", 500),
            positive(section, "timeout_ms", 200),
            positive(section, "exchange_ms", 10_000),
            positive(section, "reconnect_ms", 2_000),
            positive(section, "sure_ms", 60_000),
            positive(section, "forget_ms", 3_600_000),
            positive(section, "settle_ms", 5_000),
            (int) positive(section, "members", 1_024),
            positive(section, "packets_per_s", 400),
            positive(section, "bytes_per_s", 262_144));
    if (options.timeoutMillis > options.intervalMillis / 2) {
      throw new InvalidConfig(
          "fleet.timeout_ms must be at most half of fleet.interval_ms, which leaves time for indirect probes");
    }
    if (options.maxMembers > MAX_MEMBERS || options.release.length() > MAX_NAME_LENGTH) {
      throw new InvalidConfig(
          "fleet.members must be at most "
              + MAX_MEMBERS
              + ", and fleet.release at most "
              + MAX_NAME_LENGTH
              + " characters");
    }
    return options;
  }

  /** Checks that an address has the form host:port and a port that others can connect to. */
  private static String reachable(String address, String field) throws InvalidConfig {
    SocketAddress parsed = Config.address(address, field);
    if (parsed.port() == 0 || address.length() > MAX_NAME_LENGTH) {
      throw new InvalidConfig(
          field + " has no port that other members can reach: '" + address + "'");
    }
    return address;
  }

  private static String text(JsonObject section, String key) {
    return section.has(key) ? section.get(key).getAsString() : "";
  }

  private static long positive(JsonObject section, String key, long defaultValue)
      throws InvalidConfig {
    return OperatorFile.positive(section, key, "fleet." + key, defaultValue);
  }
}
