package umberrun.config;

import com.google.gson.JsonObject;
import java.util.Set;
import umberrun.config.Config.InvalidConfig;

/**
 * The optional section {@code works} of the operator's file: maintenance plans for worker machines.
 *
 * @param startMillis how long a starting front end waits at most to read which machines are
 *     suspended
 * @param recoveryMillis a stopped plan goes on after this time without a disturbance
 * @param moveTimeoutMillis how long the move of last copies off a machine is awaited
 * @param trafficJumpFactor plans stop when the traffic exceeds its mean by this factor
 * @param maxRefusedShare plans stop when the share of refused calls exceeds this
 */
public record WorksOptions(
    long startMillis,
    long recoveryMillis,
    long moveTimeoutMillis,
    double trafficJumpFactor,
    double maxRefusedShare) {
  private static final Set<String> KEYS =
      Set.of("start_ms", "quiet_ms", "move_ms", "jump", "refusals");

  /** A front end must be ready well within 6 s, whatever the other front ends do. */
  private static final long MAX_START_MILLIS = 3_000;

  /**
   * Parses and checks the section.
   *
   * @param leases the section {@code leases}, or null if it is absent
   */
  static WorksOptions read(JsonObject section, LeaseOptions leases) throws InvalidConfig {
    if (leases == null) {
      throw new InvalidConfig(
          "works needs leases: plans are stored in replicated registers and executed by a lease holder");
    }
    for (String key : section.keySet()) {
      if (!KEYS.contains(key)) {
        throw new InvalidConfig("works." + key + " is not a known key");
      }
    }
    WorksOptions options =
        new WorksOptions(
            positive(section, "start_ms", 1_500),
            positive(section, "quiet_ms", 30_000),
            positive(section, "move_ms", 15_000),
            section.has("jump") ? section.get("jump").getAsDouble() : 1.6,
            section.has("refusals") ? section.get("refusals").getAsDouble() : 0.05);
    if (options.startMillis > MAX_START_MILLIS) {
      throw new InvalidConfig(
          "works.start_ms must be at most " + MAX_START_MILLIS + ": clients wait for the start");
    }
    if (!(options.trafficJumpFactor > 1)
        || !(options.maxRefusedShare > 0 && options.maxRefusedShare <= 1)) {
      throw new InvalidConfig(
          "works.jump must be above 1, and works.refusals above 0 and at most 1");
    }
    return options;
  }

  private static long positive(JsonObject section, String key, long defaultValue)
      throws InvalidConfig {
    return OperatorFile.positive(section, key, "works." + key, defaultValue);
  }
}
