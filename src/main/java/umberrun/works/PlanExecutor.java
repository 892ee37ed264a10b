package umberrun.works;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.UnaryOperator;
import umberrun.works.Ledger.Late;
import umberrun.works.Ledger.Machine;
import umberrun.works.Ledger.Plan;
import umberrun.works.Ledger.Refused;
import umberrun.works.Ledger.State;

/**
 * Drives plans while the duty {@code works} is held: from the ledger, the reports and the machines
 * as seen to the next step, one at a time. Free of I/O, threads and clocks; times are in
 * microseconds of the own steady clock.
 */
public class PlanExecutor {
  /**
   * Figures of all plans.
   *
   * @param recoveryTime without trouble for so long, a held plan goes on
   * @param moveTimeout after so long last copies are given up
   * @param trafficJumpFactor traffic over so many times its mean stops plans
   * @param maxRefusedShare a share of refused calls above this stops plans
   */
  public record Settings(
      long recoveryTime, long moveTimeout, double trafficJumpFactor, double maxRefusedShare) {}

  /** A step that is to be made of the register, and what for. */
  public record PlannedStep(String description, UnaryOperator<Ledger> step) {}

  /** A copy to be ordered by a front end at a machine, before the last one goes. */
  public record CopyMove(String function, String to, String member) {}

  private static final double LEAST_TRAFFIC = 20;
  private static final double MEAN_SPAN = 60_000_000;
  private static final double WARM_UP = 5_000_000;

  private final Settings settings;
  private final long fence;

  /** When this holder first saw a machine in its stage. */
  private final Map<String, Long> since = new HashMap<>();

  private final Map<String, Long> troubledAt = new HashMap<>();
  private boolean tookOver;
  private double meanTraffic = -1;
  private long trafficAt;
  private double trafficSpan;

  public PlanExecutor(Settings settings, long fence) {
    this.settings = settings;
    this.fence = fence;
  }

  /** The next step, or null where there is nothing to do but wait. */
  public PlannedStep nextStep(long now, Ledger l, MachineView w, List<FrontEndReport> reports) {
    if (!tookOver && l.fence() < fence) {
      // So that a holder before this one, whose machines were other ones, is refused from now on.
      return wanted("takes over", l, x -> x.takeOver(currentFence(x)));
    }
    tookOver = true;
    String trouble = trouble(now, l, w, reports);
    Set<String> keys = new HashSet<>();
    for (Machine m : l.machines()) {
      if (!m.stage().isOver()) {
        String key = m.name() + m.stage() + m.plan();
        keys.add(key);
        PlannedStep step = step(now - since.computeIfAbsent(key, k -> now), l, w, reports, m);
        if (step != null) {
          return step;
        }
      }
    }
    since.keySet().retainAll(keys);
    for (Plan p : l.plans()) {
      PlannedStep step = step(now, l, p, trouble);
      if (step != null) {
        return step;
      }
    }
    return begin(l, w, reports);
  }

  /** A step made of just the ledger that it was decided on. */
  private PlannedStep wanted(String what, Ledger seen, UnaryOperator<Ledger> step) {
    return new PlannedStep(
        what,
        l -> {
          if (isOvertaken(seen, l)) {
            throw new Refused("overtaken by another step");
          }
          return step.apply(l);
        });
  }

  /** Guards decisions on what was: tests put in one that does not look. */
  protected boolean isOvertaken(Ledger seen, Ledger now) {
    return seen.steps() != now.steps();
  }

  /** The fence under which it acts: tests put in one that acts under any. */
  protected long currentFence(Ledger l) {
    return fence;
  }

  // ---------------------------------------------------------------- machines

  private PlannedStep step(
      long inStage, Ledger l, MachineView w, List<FrontEndReport> reports, Machine m) {
    Plan p = l.plan(m.plan()).orElseThrow();
    MachineView.ObservedMachine s = w.get(m.name());
    String by =
        reports.stream()
            .filter(r -> r.resumed().contains(m.name()))
            .map(r -> r.member().name())
            .findFirst()
            .orElse(null);
    if (by != null && m.stage().isOut()) {
      return failed(l, m, "resumed by hand at " + by);
    }
    if (s != null
        && s.gone()
        && m.stage() != Stage.FREE) { // who works on a free one says when it is done
      return failed(l, m, "gone from the list");
    }
    if (inStage >= p.limitMillis() * 1_000
        && m.stage() != Stage.WAITING
        && m.stage() != Stage.MOVING
        && !m.overdue()) {
      return overdue(l, p, m);
    }
    return switch (m.stage()) {
      case MOVING -> {
        List<String> last = MachineOrder.lastCopies(m.name(), l, w, reports);
        yield last.isEmpty() || inStage >= settings.moveTimeout || s == null
            ? to(
                l,
                m,
                Stage.GOING,
                s == null ? 0 : s.startedAt(),
                last.isEmpty() ? "" : last.size() + " last copies could not be placed")
            : null;
      }
      case GOING ->
          blockingFrontEnds(l, m, reports, false).isEmpty()
              ? to(l, m, Stage.QUIET, m.since(), "")
              : null;
      case QUIET ->
          blockingFrontEnds(l, m, reports, true).isEmpty()
              ? to(l, m, Stage.FREE, m.since(), "")
              : null;
      case FREE ->
          s != null && s.listed() && s.startedAt() > m.since()
              ? to(l, m, Stage.BACK, s.startedAt(), "started anew")
              : null;
      case BACK -> s != null && s.isReady() ? to(l, m, Stage.DONE, m.since(), "") : null;
      default -> null;
    };
  }

  private PlannedStep to(Ledger l, Machine m, Stage to, long since, String note) {
    return wanted(m.name() + " " + to, l, x -> x.stage(currentFence(x), m.name(), to, since, note));
  }

  /** What broke a machine's order stops its plan as well. */
  private PlannedStep failed(Ledger l, Machine m, String why) {
    return wanted(
        m.name() + " failed",
        l,
        x -> {
          Ledger next = x.stage(currentFence(x), m.name(), Stage.FAILED, m.since(), why);
          return next.plan(m.plan()).orElseThrow().state() == State.RUNNING
              ? next.hold(currentFence(next), m.plan(), m.name() + " " + why)
              : next;
        });
  }

  private PlannedStep overdue(Ledger l, Plan p, Machine m) {
    if (p.late() == Late.SKIP && m.stage().leadsTo(Stage.SKIPPED)) {
      return to(l, m, Stage.SKIPPED, m.since(), "overdue");
    }
    return wanted(
        m.name() + " overdue",
        l,
        x -> {
          Ledger next = x.overdue(currentFence(x), m.name());
          return p.late() == Late.HOLD && p.state() == State.RUNNING
              ? next.hold(currentFence(next), p.id(), m.name() + " is overdue")
              : next;
        });
  }

  /**
   * For whom a machine waits: those on the roll that have not banned it, or have something out
   * there; nobody's silence is a yes.
   */
  public List<String> blockingFrontEnds(
      Ledger l, Machine m, List<FrontEndReport> reports, boolean quiet) {
    List<String> waits = new ArrayList<>();
    for (Ledger.Member member : l.roll()) {
      if (!m.forced().contains(member.name()) && !hasAnswered(member, m, reports, quiet)) {
        waits.add(member.name());
      }
    }
    return waits;
  }

  /** Whether a member has said yes; tests put in one for whom silence is one. */
  protected boolean hasAnswered(
      Ledger.Member member, Machine m, List<FrontEndReport> reports, boolean quiet) {
    return reports.stream()
        .anyMatch(
            r -> {
              FrontEndReport.BanProgress q =
                  r.member().equals(member) ? r.out().get(m.name()) : null;
              return q != null && q.ban() == m.ban() && (!quiet || q.out() == 0);
            });
  }

  // ---------------------------------------------------------------- plans

  private PlannedStep step(long now, Ledger l, Plan p, String trouble) {
    if (trouble != null) {
      troubledAt.put(p.id(), now);
    }
    if (p.state() == State.RUNNING && trouble != null) {
      return wanted("plan " + p.id() + " held", l, x -> x.hold(currentFence(x), p.id(), trouble));
    }
    long calm = now - troubledAt.computeIfAbsent(p.id(), k -> now);
    if (p.state() == State.HELD && !p.byHand() && calm >= settings.recoveryTime) {
      return wanted("plan " + p.id() + " goes on", l, x -> x.release(currentFence(x), p.id()));
    }
    boolean through =
        l.machines().stream().allMatch(m -> !m.plan().equals(p.id()) || m.stage().isOver());
    return p.state() == State.RUNNING && through
        ? wanted("plan " + p.id() + " ended", l, x -> x.end(currentFence(x), p.id()))
        : null;
  }

  private PlannedStep begin(Ledger l, MachineView w, List<FrontEndReport> reports) {
    List<MachineOrder.Place> places = machineOrder(l, w, reports);
    if (places.isEmpty() || !places.get(0).may()) {
      return null;
    }
    MachineOrder.Place first = places.get(0);
    Machine m = l.machine(first.machine());
    MachineView.ObservedMachine s = w.get(m.name());
    if (s == null) {
      return failed(l, m, "not on the list");
    }
    return wanted(
        m.name() + " MOVING",
        l,
        x ->
            x.stage(
                currentFence(x),
                m.name(),
                Stage.MOVING,
                s.startedAt(),
                String.join("; ", first.reasons())));
  }

  /** Who goes next: trials compare it with plainer orders. */
  protected List<MachineOrder.Place> machineOrder(
      Ledger l, MachineView w, List<FrontEndReport> reports) {
    return MachineOrder.of(l, w, reports);
  }

  /** What stops plans now, or null. */
  private String trouble(long now, Ledger l, MachineView w, List<FrontEndReport> reports) {
    double taken = reports.stream().mapToDouble(FrontEndReport::taken).sum();
    double refused = reports.stream().mapToDouble(FrontEndReport::refused).sum();
    double mean = meanTraffic;
    if (meanTraffic < 0) {
      meanTraffic = taken;
    } else {
      double step = Math.min(now - trafficAt, MEAN_SPAN);
      trafficSpan = Math.min(MEAN_SPAN, trafficSpan + step);
      meanTraffic += (taken - meanTraffic) * Math.min(1, step / Math.max(WARM_UP, trafficSpan));
    }
    trafficAt = now;
    if (mean > LEAST_TRAFFIC
        && trafficSpan >= WARM_UP
        && taken > settings.trafficJumpFactor * mean) {
      return String.format("traffic jumped from %.0f to %.0f calls a second", mean, taken);
    }
    if (taken > LEAST_TRAFFIC && refused > settings.maxRefusedShare * taken) {
      return String.format("%.0f of %.0f calls a second are refused", refused, taken);
    }
    Map<String, int[]> halls = new HashMap<>();
    w.machines()
        .forEach(
            (name, s) -> {
              Machine m = l.machine(name);
              if (s.listed() && (m == null || !m.stage().isMissing())) {
                int[] n = halls.computeIfAbsent(s.hall(), h -> new int[2]);
                n[0]++;
                n[1] += s.failing() ? 1 : 0;
              }
            });
    return halls.entrySet().stream()
        .filter(e -> e.getValue()[0] > 1 && 2 * e.getValue()[1] > e.getValue()[0])
        .map(Map.Entry::getKey)
        .min(Comparator.naturalOrder())
        .map(h -> "hall " + h + " is lost")
        .orElse(null);
  }

  /** Copies to be ordered now, for machines that are about to go. */
  public List<CopyMove> copyMoves(Ledger l, MachineView w, List<FrontEndReport> reports) {
    List<CopyMove> moves = new ArrayList<>();
    for (Machine m : l.machines()) {
      if (m.stage() == Stage.MOVING) {
        for (String function : MachineOrder.lastCopies(m.name(), l, w, reports)) {
          String target = MachineOrder.target(m.name(), l, w, reports);
          reports.stream()
              .filter(r -> r.copies().containsKey(function))
              .max(
                  Comparator.comparingDouble(FrontEndReport::taken)
                      .thenComparing(r -> r.member().name()))
              .ifPresent(
                  r -> {
                    if (target != null) {
                      moves.add(new CopyMove(function, target, r.member().name()));
                    }
                  });
        }
      }
    }
    return moves;
  }
}
