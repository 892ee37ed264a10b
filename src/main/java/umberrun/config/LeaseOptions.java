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
 * The optional section {@code leases} of the operator's file: leases on duties, agreed by voters.
 *
 * @param voters names of the front ends that form the first set of voters, and that are asked which
 *     front ends vote now
 * @param stateDir directory of the voter's store, empty if this front end does not vote
 * @param lengthMillis duration of a lease
 * @param maxClockDrift maximum drift of a clock, as a fraction of the elapsed time
 * @param pauseMillis added to the time that others wait before they take over an expired lease
 * @param probeMillis time between two probes of a worker by the front end that holds the duty of
 *     its hall, 0 if there is no such duty
 * @param beacon address that the holder of the duty {@code beacon} reports to, or null if there is
 *     no such duty
 * @param beaconMillis time between two reports
 */
public record LeaseOptions(
    List<String> voters,
    String stateDir,
    long lengthMillis,
    double maxClockDrift,
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

  /** A lease has to last for several attempts of a proposer, each of several round trips. */
  private static final int MIN_TIMEOUTS_PER_LEASE = 5;

  private static final int MAX_NAME_LENGTH = 64;
  private static final double MAX_DRIFT_RATE = 0.2;
  private static final int MIN_PROBE_MILLIS = 50;

  /**
   * Parses and checks the section.
   *
   * @param fleet the section {@code fleet}, or null if it is absent
   */
  static LeaseOptions read(JsonObject section, FleetOptions fleet) throws InvalidConfig {
    if (fleet == null) {
      throw new InvalidConfig("leases needs fleet: voters are reached at its address");
    }
    for (String key : section.keySet()) {
      if (!KEYS.contains(key)) {
        throw new InvalidConfig("leases." + key + " is not a known key");
      }
    }
    List<String> voters = new ArrayList<>();
    if (section.has("voters") && section.get("voters").isJsonArray()) {
      for (JsonElement e : section.getAsJsonArray("voters")) {
        voters.add(e.getAsString());
      }
    }
    if (voters.size() != 3 && voters.size() != 5 || new HashSet<>(voters).size() != voters.size()) {
      throw new InvalidConfig("leases.voters must name 3 or 5 front ends, each once");
    }
    for (String voter : voters) {
      if (voter.isEmpty() || voter.length() > MAX_NAME_LENGTH || !voter.matches("[^#,\\s]+")) {
        throw new InvalidConfig("leases.voters: '" + voter + "' is not a valid name of a voter");
      }
    }
    LeaseOptions options =
        new LeaseOptions(
            List.copyOf(voters),
            section.has("state_dir") ? section.get("state_dir").getAsString() : "",
            positive(section, "length_ms", 3_000),
            section.has("rate") ? section.get("rate").getAsDouble() : 0.01,
            section.has("pause_ms") ? section.get("pause_ms").getAsLong() : 0,
            section.has("probe_ms") ? positive(section, "probe_ms", 0) : 0,
            section.has("beacon")
                ? Config.address(section.get("beacon").getAsString(), "leases.beacon")
                : null,
            positive(section, "beacon_ms", 1_000));
    if (options.lengthMillis < MIN_TIMEOUTS_PER_LEASE * fleet.timeoutMillis()) {
      throw new InvalidConfig(
          "leases.length_ms must be at least "
              + MIN_TIMEOUTS_PER_LEASE
              + " times fleet.timeout_ms, as a renewal takes several round trips");
    }
    if (!(options.maxClockDrift >= 0 && options.maxClockDrift <= MAX_DRIFT_RATE)
        || options.pauseMillis < 0) {
      throw new InvalidConfig(
          "leases.rate must be from 0 to "
              + MAX_DRIFT_RATE
              + ", and leases.pause_ms must not be negative");
    }
    if (options.probeMillis > 0 && options.probeMillis < MIN_PROBE_MILLIS) {
      throw new InvalidConfig("leases.probe_ms must be at least " + MIN_PROBE_MILLIS);
    }
    return options;
  }

  /**
   * Checks what depends on the name of this front end.
   *
   * @param name name of this front end
   */
  void check(String name) throws InvalidConfig {
    if (voters.contains(name) && stateDir.isEmpty()) {
      throw new InvalidConfig(
          "leases.state_dir is missing: "
              + name
              + " is a voter and must store its promises on disk");
    }
  }

  private static long positive(JsonObject section, String key, long defaultValue)
      throws InvalidConfig {
    return OperatorFile.positive(section, key, "leases." + key, defaultValue);
  }
}
