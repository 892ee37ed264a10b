package umberrun.config;

import com.google.gson.JsonObject;
import java.util.Set;
import umberrun.config.Config.InvalidConfig;

/**
 * The section {@code works} of the operator's file, read only where it stands there.
 *
 * @param startMillis a start waits so long to read what is out
 * @param quietMillis without trouble for so long, a plan that was stopped goes on
 * @param moveMillis after so long last copies are given up
 * @param jump traffic over so many times its mean stops plans
 * @param refusals a share of refused calls above this stops plans
 */
public record WorksOptions(
    long startMillis, long quietMillis, long moveMillis, double jump, double refusals) {
  private static final Set<String> KEYS =
      Set.of("start_ms", "quiet_ms", "move_ms", "jump", "refusals");

  /** Ready well under 6 s, whatever the others do. */
  private static final long MOST_START = 3_000;

  static WorksOptions read(JsonObject o, LeaseOptions leases) throws InvalidConfig {
    if (leases == null) {
      throw new InvalidConfig(
          "works needs leases: plans are kept in agreed registers, and driven by who holds a duty");
    }
    for (String key : o.keySet()) {
      if (!KEYS.contains(key)) {
        throw new InvalidConfig("works." + key + " is not known");
      }
    }
    WorksOptions options =
        new WorksOptions(
            figure(o, "start_ms", 1_500),
            figure(o, "quiet_ms", 30_000),
            figure(o, "move_ms", 15_000),
            o.has("jump") ? o.get("jump").getAsDouble() : 1.6,
            o.has("refusals") ? o.get("refusals").getAsDouble() : 0.05);
    if (options.startMillis > MOST_START) {
      throw new InvalidConfig(
          "works.start_ms must be " + MOST_START + " at the most: clients wait for the start");
    }
    if (!(options.jump > 1) || !(options.refusals > 0 && options.refusals <= 1)) {
      throw new InvalidConfig(
          "works.jump must be above 1, and works.refusals above 0 and 1 at the most");
    }
    return options;
  }

  private static long figure(JsonObject o, String key, long otherwise) throws InvalidConfig {
    return OperatorFile.figure(o, key, "works." + key, otherwise);
  }
}
