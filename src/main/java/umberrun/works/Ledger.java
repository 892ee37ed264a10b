package umberrun.works;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.UnaryOperator;

/**
 * All that is agreed of works, as the register has it: plans, machines, the roll of front ends that
 * may send, and the trail. Immutable; each change is a step that gives the next one, or a {@link
 * Refused} with the reason. Free of I/O and clocks.
 *
 * @param fence the greatest of those that drove the plans
 * @param steps made so far; a machine's ban is named by the step that began it
 */
public record Ledger(
    long fence,
    long steps,
    List<Member> roll,
    List<Plan> plans,
    List<Machine> machines,
    List<Entry> trail) {
  /** A front end that may send, and which process of it. */
  public record Member(String name, String start) {}

  /** What follows where a machine takes longer than it may. */
  public enum Late {
    WAIT,
    SKIP,
    HOLD
  }

  /** How a plan stands. */
  public enum State {
    RUNNING,
    PAUSED,
    HELD,
    CANCELLED,
    ENDED;

    public boolean isOver() {
      return this == CANCELLED || this == ENDED;
    }
  }

  /**
   * What operators want done.
   *
   * @param atOnce machines that may be missing at a time, over all plans
   * @param oneHall whether never two halls are touched at once
   * @param floor ready machines that must stay, in all and in each hall
   * @param limitMillis for each stage of a machine
   * @param byHand whether it goes on only by an operator's word once something has stopped it
   * @param reason why it is held
   */
  public record Plan(
      String id,
      String by,
      String why,
      int atOnce,
      boolean oneHall,
      int floor,
      int hallFloor,
      long limitMillis,
      Late late,
      boolean byHand,
      boolean urgent,
      State state,
      String reason) {
    Plan in(State next, String because) {
      return new Plan(
          id,
          by,
          why,
          atOnce,
          oneHall,
          floor,
          hallFloor,
          limitMillis,
          late,
          byHand,
          urgent,
          next,
          because);
    }

    Plan urgently() {
      return new Plan(
          id,
          by,
          why,
          atOnce,
          oneHall,
          floor,
          hallFloor,
          limitMillis,
          late,
          byHand,
          true,
          state,
          reason);
    }
  }

  /**
   * A machine of a plan.
   *
   * @param since its start as the list had it when it went out, in milliseconds; a later one means
   *     that it is back
   * @param ban the step by which it went out, 0 before
   * @param forced front ends whose silence an operator took for a yes
   */
  public record Machine(
      String name,
      String hall,
      String plan,
      Stage stage,
      long since,
      long ban,
      boolean overdue,
      List<String> forced,
      String note) {
    Machine at(Stage next, long newSince, long newBan, String because) {
      return new Machine(name, hall, plan, next, newSince, newBan, false, forced, because);
    }
  }

  /** A line of the trail. */
  public record Entry(long step, String who, String what, long fence) {}

  /** A step that can't be made; the message is one plain line. */
  public static final class Refused extends RuntimeException {
    private static final long serialVersionUID = 1;

    public Refused(String message) {
      super(message, null, false, false);
    }
  }

  public static final Ledger EMPTY = new Ledger(0, 0, List.of(), List.of(), List.of(), List.of());
  private static final int MOST_TRAIL = 120;
  private static final int MOST_PLANS = 16;
  private static final int MOST_OVER = 4;
  private static final int MOST_MACHINES = 300;
  private static final int MOST_TEXT = 120;
  private static final Gson GSON = new Gson();

  /** What a register holds; fails with {@link IllegalArgumentException} where that is no ledger. */
  public static Ledger parse(String text) {
    if (text.isEmpty()) {
      return EMPTY;
    }
    try {
      Ledger l = GSON.fromJson(text, Ledger.class);
      boolean whole =
          l != null
              && l.plans != null
              && l.machines != null
              && l.roll != null
              && l.trail != null
              && l.plans.stream()
                  .allMatch(p -> p != null && p.id != null && p.state != null && p.late != null)
              && l.machines.stream()
                  .allMatch(
                      m ->
                          m != null
                              && m.name != null
                              && m.plan != null
                              && m.stage != null
                              && m.forced != null)
              && l.roll.stream().allMatch(m -> m != null && m.name() != null && m.start() != null);
      if (!whole) {
        throw new IllegalArgumentException("no ledger of works");
      }
      return l;
    } catch (JsonParseException e) {
      throw new IllegalArgumentException("no ledger of works: " + e.getMessage(), e);
    }
  }

  public String text() {
    return GSON.toJson(this);
  }

  // ---------------------------------------------------------------- looking

  public Optional<Plan> plan(String id) {
    return plans.stream().filter(p -> p.id.equals(id)).findFirst();
  }

  /** A machine that some plan is not through with, or null. */
  public Machine machine(String name) {
    return machines.stream()
        .filter(m -> m.name.equals(name) && !m.stage.isOver())
        .findFirst()
        .orElse(null);
  }

  /** Bans that hold, by machine: the step that began each. */
  public Map<String, Long> out() {
    Map<String, Long> out = new LinkedHashMap<>();
    machines.stream().filter(m -> m.stage.isOut()).forEach(m -> out.put(m.name, m.ban));
    return out;
  }

  public boolean isOnRoll(Member m) {
    return roll.contains(m);
  }

  /** Whether some plan wants something of the front ends. */
  public boolean isActive() {
    return plans.stream().anyMatch(p -> !p.state.isOver())
        || machines.stream().anyMatch(m -> m.stage.isMissing());
  }

  // ---------------------------------------------------------------- the roll

  /**
   * A front end may send from now on. {@code alone}: no other process of its name runs beside it.
   */
  public Ledger join(Member m, boolean alone) {
    List<Member> next = new ArrayList<>(roll);
    next.removeIf(o -> o.equals(m) || alone && o.name.equals(m.name));
    next.add(m);
    return next.equals(roll)
        ? this
        : new Ledger(fence, steps + 1, List.copyOf(next), plans, machines, trail);
  }

  /** A process has sent its last. */
  public Ledger leave(Member m) {
    List<Member> next = new ArrayList<>(roll);
    return next.remove(m)
        ? new Ledger(fence, steps + 1, List.copyOf(next), plans, machines, trail)
        : this;
  }

  /**
   * An operator takes a front end off the roll that will not come back; its silence is then
   * nobody's.
   */
  public Ledger strike(String by, String name) {
    List<Member> next = new ArrayList<>(roll);
    if (!next.removeIf(o -> o.name.equals(name))) {
      throw new Refused(name + " is not on the roll");
    }
    return new Ledger(fence, steps, List.copyOf(next), plans, machines, trail)
        .noted(by, name + " taken off the roll by force", 0);
  }

  // ---------------------------------------------------------------- what operators order

  /** Takes in a plan, whole or not at all. */
  public Ledger add(Plan p, List<Machine> wanted) {
    if (wanted.isEmpty()) {
      throw new Refused("the plan names no machine");
    }
    if (p.atOnce < 1
        || p.floor < 0
        || p.hallFloor < 0
        || p.limitMillis < 1
        || p.why.length() > MOST_TEXT
        || !p.id.matches("[\\w.-]{1,32}")) {
      throw new Refused("the plan has figures that can't be");
    }
    if (plan(p.id).isPresent()) {
      throw new Refused("there is a plan " + p.id + " already");
    }
    if (plans.stream().filter(o -> !o.state.isOver()).count() >= MOST_PLANS
        || machines.size() + wanted.size() > MOST_MACHINES) {
      throw new Refused(
          "too many plans or machines: " + MOST_PLANS + " and " + MOST_MACHINES + " at the most");
    }
    for (Machine m : wanted) {
      if (!m.plan.equals(p.id) || m.stage != Stage.WAITING) {
        throw new Refused(m.name + " is of another plan, or not waiting");
      }
      Machine other = machine(m.name);
      if (other != null) {
        throw new Refused(m.name + " is in plan " + other.plan + " already");
      }
    }
    List<Plan> nextPlans = new ArrayList<>(plans);
    nextPlans.add(p);
    List<Machine> next = new ArrayList<>(machines);
    next.addAll(wanted);
    return new Ledger(fence, steps, roll, List.copyOf(nextPlans), List.copyOf(next), trail)
        .noted(p.by, "plan " + p.id + " of " + wanted.size() + ": " + p.why, 0)
        .pruned();
  }

  public Ledger pause(String by, String id) {
    return change(
        by, id, p -> p.in(State.PAUSED, "paused by " + by), "paused", State.RUNNING, State.HELD);
  }

  public Ledger resume(String by, String id) {
    return change(by, id, p -> p.in(State.RUNNING, ""), "resumed", State.PAUSED, State.HELD);
  }

  public Ledger urgent(String by, String id) {
    return change(by, id, Plan::urgently, "urgent", State.RUNNING, State.PAUSED, State.HELD);
  }

  /**
   * Nobody new goes; who is not free for work yet comes back, who is stays out until its operator's
   * word.
   */
  public Ledger cancel(String by, String id) {
    Ledger l =
        change(
            by,
            id,
            p -> p.in(State.CANCELLED, "cancelled by " + by),
            "cancelled",
            State.RUNNING,
            State.PAUSED,
            State.HELD);
    List<Machine> next =
        l.machines.stream()
            .map(
                m ->
                    m.plan.equals(id) && m.stage.leadsTo(Stage.SKIPPED)
                        ? m.at(Stage.SKIPPED, m.since, m.ban, "cancelled")
                        : m)
            .toList();
    return new Ledger(l.fence, l.steps, l.roll, l.plans, next, l.trail);
  }

  private Ledger change(String by, String id, UnaryOperator<Plan> how, String what, State... from) {
    Plan p = plan(id).orElseThrow(() -> new Refused("there is no plan " + id));
    if (!List.of(from).contains(p.state)) {
      throw new Refused("plan " + id + " is " + p.state.name().toLowerCase(java.util.Locale.ROOT));
    }
    return withPlan(how.apply(p)).noted(by, "plan " + id + " " + what, 0);
  }

  public Ledger skip(String by, String name) {
    return byHand(by, name, Stage.SKIPPED, "skipped");
  }

  /** The work on a machine has ended: it may serve again, and is cold. */
  public Ledger done(String by, String name) {
    return byHand(by, name, Stage.BACK, "done");
  }

  private Ledger byHand(String by, String name, Stage to, String what) {
    Machine m = named(name);
    if (!m.stage.leadsTo(to)) {
      throw new Refused(
          name
              + " is "
              + m.stage.name().toLowerCase(java.util.Locale.ROOT)
              + " and can't be "
              + what);
    }
    return withMachine(m.at(to, m.since, m.ban, what + " by " + by))
        .noted(by, name + " " + what, 0);
  }

  /** A front end's silence counts as a yes for one machine. */
  public Ledger force(String by, String name, String member) {
    Machine m = named(name);
    if (m.stage != Stage.GOING && m.stage != Stage.QUIET) {
      throw new Refused(name + " waits for nobody");
    }
    if (roll.stream().noneMatch(o -> o.name.equals(member))) {
      throw new Refused(member + " is not on the roll");
    }
    List<String> forced = new ArrayList<>(m.forced);
    forced.add(member);
    return withMachine(
            new Machine(
                m.name,
                m.hall,
                m.plan,
                m.stage,
                m.since,
                m.ban,
                m.overdue,
                List.copyOf(forced),
                m.note))
        .noted(by, name + " forced for " + member, 0);
  }

  private Machine named(String name) {
    Machine m = machine(name);
    if (m == null) {
      throw new Refused(name + " is in no plan");
    }
    return m;
  }

  // ---------------------------------------------------------------- what the holder drives

  /** Guards against a holder that was stopped, and goes on after another took over. */
  private Ledger under(long by) {
    if (by < fence) {
      throw new Refused("fence " + by + " is old, " + fence + " has driven");
    }
    return new Ledger(by, steps, roll, plans, machines, trail);
  }

  /** Another holder drives from now on. */
  public Ledger takeOver(long by) {
    return under(by).noted("holder", "takes over", by);
  }

  /** A machine goes on to a stage; {@code note} says why, and for whom it waits. */
  public Ledger stage(long by, String name, Stage to, long since, String note) {
    Ledger l = under(by);
    Machine m = l.named(name);
    if (!m.stage.leadsTo(to)) {
      throw new Refused(name + " is " + m.stage + " and can't be " + to);
    }
    long ban = to == Stage.GOING ? steps + 1 : m.ban;
    return l.withMachine(m.at(to, since, ban, note))
        .noted(
            "holder",
            name
                + " "
                + to.name().toLowerCase(java.util.Locale.ROOT)
                + (note.isEmpty() ? "" : ": " + note),
            by);
  }

  public Ledger overdue(long by, String name) {
    Ledger l = under(by);
    Machine m = l.named(name);
    if (m.overdue) {
      throw new Refused(name + " is known to be overdue");
    }
    return l.withMachine(
            new Machine(m.name, m.hall, m.plan, m.stage, m.since, m.ban, true, m.forced, m.note))
        .noted("holder", name + " overdue", by);
  }

  /** Nobody new goes until the reason has passed. */
  public Ledger hold(long by, String id, String reason) {
    return driven(by, id, State.RUNNING, State.HELD, reason);
  }

  public Ledger release(long by, String id) {
    return driven(by, id, State.HELD, State.RUNNING, "");
  }

  public Ledger end(long by, String id) {
    Ledger l = driven(by, id, State.RUNNING, State.ENDED, "");
    if (l.machines.stream().anyMatch(m -> m.plan.equals(id) && !m.stage.isOver())) {
      throw new Refused("plan " + id + " has machines that are not through");
    }
    return l.pruned();
  }

  private Ledger driven(long by, String id, State from, State to, String reason) {
    Ledger l = under(by);
    Plan p = l.plan(id).orElseThrow(() -> new Refused("there is no plan " + id));
    if (p.state != from) {
      throw new Refused("plan " + id + " is " + p.state);
    }
    return l.withPlan(p.in(to, reason))
        .noted(
            "holder",
            "plan "
                + id
                + " "
                + to.name().toLowerCase(java.util.Locale.ROOT)
                + (reason.isEmpty() ? "" : ": " + reason),
            by);
  }

  // ---------------------------------------------------------------- making the next one

  private Ledger withPlan(Plan p) {
    return new Ledger(
        fence,
        steps,
        roll,
        plans.stream().map(o -> o.id.equals(p.id) ? p : o).toList(),
        machines,
        trail);
  }

  private Ledger withMachine(Machine m) {
    return new Ledger(
        fence,
        steps,
        roll,
        plans,
        machines.stream().map(o -> o.name.equals(m.name) && !o.stage.isOver() ? m : o).toList(),
        trail);
  }

  private Ledger noted(String who, String what, long by) {
    List<Entry> next = new ArrayList<>(trail);
    next.add(
        new Entry(
            steps + 1, who, what.length() > MOST_TEXT ? what.substring(0, MOST_TEXT) : what, by));
    return new Ledger(
        fence,
        steps + 1,
        roll,
        plans,
        machines,
        List.copyOf(next.subList(Math.max(0, next.size() - MOST_TRAIL), next.size())));
  }

  /** Forgets the oldest of the plans that are over, so that the register stays small. */
  private Ledger pruned() {
    List<String> over =
        plans.stream()
            .filter(
                p ->
                    p.state.isOver()
                        && machines.stream()
                            .allMatch(m -> !m.plan.equals(p.id) || m.stage.isOver()))
            .map(Plan::id)
            .toList();
    List<String> gone = over.subList(0, Math.max(0, over.size() - MOST_OVER));
    return new Ledger(
        fence,
        steps,
        roll,
        plans.stream().filter(p -> !gone.contains(p.id)).toList(),
        machines.stream().filter(m -> !gone.contains(m.plan)).toList(),
        trail);
  }
}
