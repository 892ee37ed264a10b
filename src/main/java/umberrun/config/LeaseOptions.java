package umberrun.config;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import umberrun.config.Config.InvalidConfig;

/**
 * The section {@code leases} of the operator's file, read only where it stands there.
 *
 * @param voters the names that the first set is founded of, and that are asked who votes
 * @param stateDir the folder of this front end's vote, or empty where it has none
 * @param lengthMillis of a lease
 * @param rate by how much a clock may run fast or slow, as a part
 * @param pauseMillis added to the time that others wait before they take an expired duty
 * @param probeMillis between two probes of a worker by the holder of its hall's duty, 0 for no such
 *     duty
 * @param beacon where the holder of the duty {@code beacon} reports, or null
 * @param beaconMillis between two reports
 */
public record LeaseOptions(
    List<String> voters,
    String stateDir,
    long lengthMillis,
    double rate,
    long pauseMillis,
    long probeMillis,
    SocketAddress beacon,
    long beaconMillis) {
  private static final Set<String> KEYS =
      Set.of(
          "voters",
          "state_dir",
          "length_ms",
          "rate",
          "pause_ms",
          "probe_ms",
          "beacon",
          "beacon_ms");

  /** A lease lasts for some tries of a proposer, and some round trips each. */
  private static final int LEAST_ROUND_TRIPS = 5;

  private static final double MOST_RATE = 0.2;
  private static final int LEAST_PROBE_MILLIS = 50;

  static LeaseOptions read(JsonObject o, FleetOptions fleet) throws InvalidConfig {
    if (fleet == null) {
      throw new InvalidConfig("leases need fleet: front ends agree over its listener");
    }
    for (String key : o.keySet()) {
      if (!KEYS.contains(key)) {
        throw new InvalidConfig("leases." + key + " is not known");
      }
    }
    List<String> voters = new ArrayList<>();
    if (o.has("voters") && o.get("voters").isJsonArray()) {
      for (JsonElement e : o.getAsJsonArray("voters")) {
        voters.add(e.getAsString());
      }
    }
    if (voters.size() != 3 && voters.size() != 5 || new HashSet<>(voters).size() != voters.size()) {
      throw new InvalidConfig("leases.voters must name 3 or 5 front ends, each once");
    }
    for (String v : voters) {
      if (v.isEmpty() || v.length() > 64 || !v.matches("[^#,\\s]+")) {
        throw new InvalidConfig("leases.voters: '" + v + "' can't be the name of a voter");
      }
    }
    LeaseOptions options =
        new LeaseOptions(
            List.copyOf(voters),
            o.has("state_dir") ? o.get("state_dir").getAsString() : "",
            figure(o, "length_ms", 3_000),
            o.has("rate") ? o.get("rate").getAsDouble() : 0.01,
            o.has("pause_ms") ? o.get("pause_ms").getAsLong() : 0,
            o.has("probe_ms") ? figure(o, "probe_ms", 0) : 0,
            o.has("beacon") ? Config.address(o.get("beacon").getAsString(), "leases.beacon") : null,
            figure(o, "beacon_ms", 1_000));
    if (options.lengthMillis < LEAST_ROUND_TRIPS * fleet.timeoutMillis()) {
      throw new InvalidConfig(
          "leases.length_ms must be "
              + LEAST_ROUND_TRIPS
              + " times fleet.timeout_ms at the least: it is renewed by "
              + "round trips");
    }
    if (!(options.rate >= 0 && options.rate <= MOST_RATE) || options.pauseMillis < 0) {
      throw new InvalidConfig(
          "leases.rate must be from 0 to " + MOST_RATE + ", and leases.pause_ms not below 0");
    }
    if (options.probeMillis > 0 && options.probeMillis < LEAST_PROBE_MILLIS) {
      throw new InvalidConfig("leases.probe_ms must be " + LEAST_PROBE_MILLIS + " at the least");
    }
    return options;
  }

  /** Checks what rests on this front end's own name. */
  void check(String name) throws InvalidConfig {
    if (voters.contains(name) && stateDir.isEmpty()) {
      throw new InvalidConfig(
          "leases.state_dir is needed: " + name + " votes, and what it promises must be on disk");
    }
  }

  private static long figure(JsonObject o, String key, long otherwise) throws InvalidConfig {
    return OperatorFile.figure(o, key, "leases." + key, otherwise);
  }
}
