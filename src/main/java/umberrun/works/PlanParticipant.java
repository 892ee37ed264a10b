package umberrun.works;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.ToIntFunction;

/**
 * A front end's part in maintenance plans: it applies the bans of the newest ledger that it knows,
 * and reports the calls that it still has in flight at banned machines. Free of I/O, threads and
 * clocks.
 */
public class PlanParticipant {
  private final Ledger.Member self;
  private long version = -1;
  private Ledger ledger = Ledger.EMPTY;

  /**
   * Bans that no longer bind here, because an operator resumed the machine at this front end: by
   * machine, the step that began the ban.
   */
  private final Map<String, Long> resumed = new LinkedHashMap<>();

  private boolean accompanied;

  /**
   * @param self this process
   */
  public PlanParticipant(Ledger.Member self) {
    this.self = self;
  }

  /**
   * Takes over a version of the ledger, from whatever source, and returns whether it is newer than
   * the known one.
   */
  public boolean update(long newVersion, Ledger newLedger) {
    if (newVersion <= version) {
      return false;
    }
    version = newVersion;
    ledger = newLedger;
    Map<String, Long> bans = newLedger.bans();
    resumed.entrySet().removeIf(e -> !e.getValue().equals(bans.get(e.getKey())));
    return true;
  }

  /** Version of the newest known ledger, or -1 if none is known. */
  public long version() {
    return version;
  }

  /** The newest known ledger; empty if none is known. */
  public Ledger ledger() {
    return ledger;
  }

  /** Whether this process was removed from the members though it runs: it must join again. */
  public boolean isRemoved() {
    return version >= 0 && !ledger.isMember(self);
  }

  /**
   * Sets whether another process of this front end runs beside this one. The calls that the other
   * one sends are not known here, so no ban is reported as applied meanwhile.
   */
  public void setAccompanied(boolean accompanied) {
    this.accompanied = accompanied;
  }

  /**
   * Lifts the ban of a machine at this front end, because an operator resumed it here, and returns
   * whether a plan had banned it.
   */
  public boolean resumeManually(String machine) {
    Long banStep = ledger.bans().get(machine);
    if (banStep != null) {
      resumed.put(machine, banStep);
    }
    return banStep != null;
  }

  /** The machines to which this front end must not send, each with the step that began the ban. */
  public Map<String, Long> banned() {
    Map<String, Long> bans = new LinkedHashMap<>(ledger.bans());
    resumed.keySet().forEach(bans::remove);
    return bans;
  }

  /** Whether a machine whose ban has ended is cold, because it has been worked on. */
  public static boolean isCold(Ledger ledger, String machine) {
    return ledger.machines().stream()
        .anyMatch(
            m -> m.name().equals(machine) && (m.stage() == Stage.BACK || m.stage() == Stage.DONE));
  }

  /**
   * Builds the report for the holder.
   *
   * @param applied the bans that already bind here, by machine, with the step that began each
   * @param inFlightAt calls in flight at a machine
   * @param inFlight the same for all machines
   * @param copies functions in use, each with the machines known to have it loaded
   * @param callsPerSecond recent rate of calls that arrived
   * @param refusedPerSecond recent rate of those that were refused
   */
  public FrontEndReport report(
      Map<String, Long> applied,
      ToIntFunction<String> inFlightAt,
      Map<String, Integer> inFlight,
      Map<String, Set<String>> copies,
      double callsPerSecond,
      double refusedPerSecond) {
    Map<String, FrontEndReport.BanProgress> bans = new LinkedHashMap<>();
    if (!accompanied && ledger.isMember(self)) {
      applied.forEach(
          (machine, banStep) ->
              bans.put(
                  machine,
                  new FrontEndReport.BanProgress(banStep, inFlightAt.applyAsInt(machine))));
    }
    return new FrontEndReport(
        self,
        bans,
        new HashSet<>(resumed.keySet()),
        inFlight,
        copies,
        callsPerSecond,
        refusedPerSecond);
  }
}
