package umberrun.works;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.ToIntFunction;

/**
 * A front end's part in works: bans what the newest ledger that it knows has out, and says what it
 * still has out there. Free of I/O, threads and clocks.
 */
public class PlanParticipant {
  private final Ledger.Member self;
  private long version = -1;
  private Ledger ledger = Ledger.EMPTY;

  /**
   * Resumed by hand at this front end's door, by the step that had begun the ban: that ban binds no
   * longer here.
   */
  private final Map<String, Long> resumed = new LinkedHashMap<>();

  private boolean setAccompanied;

  public PlanParticipant(Ledger.Member self) {
    this.self = self;
  }

  /** Takes in a version of the ledger, whoever told it; whether it is news. */
  public boolean update(long of, Ledger l) {
    if (of <= version) {
      return false;
    }
    version = of;
    ledger = l;
    Map<String, Long> out = l.out();
    resumed.entrySet().removeIf(e -> !e.getValue().equals(out.get(e.getKey())));
    return true;
  }

  public long version() {
    return version;
  }

  public Ledger ledger() {
    return ledger;
  }

  /** Whether it was taken off the roll though it lives: it puts itself on again. */
  public boolean isRemoved() {
    return version >= 0 && !ledger.isOnRoll(self);
  }

  /**
   * Another process of this front end runs beside this one: what it sends is not known here, so
   * that nothing new is reported quiet.
   */
  public void setAccompanied(boolean is) {
    setAccompanied = is;
  }

  /** An operator resumes a machine at this front end's door: whether a plan has it out. */
  public boolean resumeByHand(String machine) {
    Long ban = ledger.out().get(machine);
    if (ban != null) {
      resumed.put(machine, ban);
    }
    return ban != null;
  }

  /** What this front end must not send to, by the step that began each ban. */
  public Map<String, Long> banned() {
    Map<String, Long> out = new LinkedHashMap<>(ledger.out());
    resumed.keySet().forEach(out::remove);
    return out;
  }

  /**
   * Whether machines that came out of a ban between two versions have been worked on, and are cold.
   */
  public static boolean isCold(Ledger now, String machine) {
    return now.machines().stream()
        .anyMatch(
            m -> m.name().equals(machine) && (m.stage() == Stage.BACK || m.stage() == Stage.DONE));
  }

  /**
   * What it tells the holder.
   *
   * @param applied bans that hold here by now
   * @param out how much is out at a machine
   */
  public FrontEndReport report(
      Map<String, Long> applied,
      ToIntFunction<String> out,
      Map<String, Integer> underWay,
      Map<String, Set<String>> copies,
      double taken,
      double refused) {
    Map<String, FrontEndReport.BanProgress> quiet = new LinkedHashMap<>();
    if (!setAccompanied && ledger.isOnRoll(self)) {
      applied.forEach(
          (machine, ban) ->
              quiet.put(machine, new FrontEndReport.BanProgress(ban, out.applyAsInt(machine))));
    }
    return new FrontEndReport(
        self, quiet, new HashSet<>(resumed.keySet()), underWay, copies, taken, refused);
  }
}
