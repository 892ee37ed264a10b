package umberrun.works;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import com.google.gson.annotations.SerializedName;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.UnaryOperator;

/**
 * The replicated state of all maintenance plans, as the register stores it: plans, machines, the
 * front ends that may send calls, and an audit trail. Immutable; each change returns the next
 * ledger or throws {@link Refused} with the reason. Free of I/O and clocks. The serialized names
 * are stored and read by front ends of other versions.
 *
 * @param fence the highest fencing token under which a holder has driven the plans
 * @param steps number of changes made so far; a machine's ban is identified by the step that began
 *     it
 * @param members the front-end processes that may send calls; messages to operators call this the
 *     roll
 * @param plans in the order in which they were added
 * @param machines the machines of all plans, in the order in which they were added
 * @param auditTrail the latest changes, oldest first
 */
public record Ledger(
    long fence,
    long steps,
    @SerializedName("roll") List<Member> members,
    List<Plan> plans,
    List<Machine> machines,
    @SerializedName("trail") List<Entry> auditTrail) {
  /**
   * A front-end process that may send calls.
   *
   * @param name of the front end
   * @param processId random id of the process, as a successor has the same name
   */
  public record Member(String name, @SerializedName("start") String processId) {}

  /** What happens when a machine stays in a stage for longer than the plan allows. */
  public enum Late {
    /** It is marked as overdue, and the plan waits for it. */
    WAIT,
    /** It is taken out of the plan, if its stage still allows that. */
    SKIP,
    /** It is marked as overdue, and the plan is held. */
    HOLD
  }

  /** The state of a plan. */
  public enum State {
    /** Its machines go out one after the other. */
    RUNNING,
    /** Stopped by an operator. */
    PAUSED,
    /** Stopped by the holder, for a reason that the plan states. */
    HELD,
    /** Ended early by an operator. */
    CANCELLED,
    /** All of its machines are done, skipped or failed. */
    ENDED;

    /** Whether the plan is cancelled or ended, so that no further machine of it will go out. */
    public boolean isOver() {
      return this == CANCELLED || this == ENDED;
    }
  }

  /**
   * A plan as operators ordered it.
   *
   * @param requestedBy the operator
   * @param purpose why the machines go out, as free text
   * @param maxMissing most machines that may be missing at a time, over all plans
   * @param singleHall whether machines of only one hall may be missing at a time
   * @param minReady ready machines that must remain in total
   * @param minReadyPerHall ready machines that must remain in the machine's hall
   * @param stageLimitMillis how long a machine may stay in one stage before it is overdue
   * @param whenOverdue what happens then
   * @param manualResume whether a held plan goes on only when an operator resumes it
   * @param urgent whether its machines go before those of other plans
   * @param reason why it is held, paused or cancelled, else empty
   */
  public record Plan(
      String id,
      @SerializedName("by") String requestedBy,
      @SerializedName("why") String purpose,
      @SerializedName("atOnce") int maxMissing,
      @SerializedName("oneHall") boolean singleHall,
      @SerializedName("floor") int minReady,
      @SerializedName("hallFloor") int minReadyPerHall,
      @SerializedName("limitMillis") long stageLimitMillis,
      @SerializedName("late") Late whenOverdue,
      @SerializedName("byHand") boolean manualResume,
      boolean urgent,
      State state,
      String reason) {
    Plan withState(State next, String newReason) {
      return new Plan(
          id,
          requestedBy,
          purpose,
          maxMissing,
          singleHall,
          minReady,
          minReadyPerHall,
          stageLimitMillis,
          whenOverdue,
          manualResume,
          urgent,
          next,
          newReason);
    }

    Plan asUrgent() {
      return new Plan(
          id,
          requestedBy,
          purpose,
          maxMissing,
          singleHall,
          minReady,
          minReadyPerHall,
          stageLimitMillis,
          whenOverdue,
          manualResume,
          true,
          state,
          reason);
    }
  }

  /**
   * A machine of a plan.
   *
   * @param plan id of the plan
   * @param startedAtMillis its last start as the worker list had it when the machine went out, 0
   *     while not known; a later start means that it is back
   * @param banStep ledger step by which it went out, 0 before
   * @param overdue whether it has stayed in its stage for longer than the plan allows
   * @param forcedMembers front ends that an operator counts as having confirmed although they did
   *     not answer
   * @param note why it came to its stage
   */
  public record Machine(
      String name,
      String hall,
      String plan,
      Stage stage,
      @SerializedName("since") long startedAtMillis,
      @SerializedName("ban") long banStep,
      boolean overdue,
      @SerializedName("forced") List<String> forcedMembers,
      String note) {
    Machine atStage(Stage next, long newStartedAtMillis, long newBanStep, String newNote) {
      return new Machine(
          name, hall, plan, next, newStartedAtMillis, newBanStep, false, forcedMembers, newNote);
    }
  }

  /**
   * A line of the audit trail.
   *
   * @param step number of the change
   * @param actor the operator, or {@code holder}
   * @param action what was changed, as free text
   * @param fence fencing token of the holder, 0 for operators
   */
  public record Entry(
      long step,
      @SerializedName("who") String actor,
      @SerializedName("what") String action,
      long fence) {}

  /** A change that is not allowed; the message is a single line for the operator. */
  public static final class Refused extends RuntimeException {
    private static final long serialVersionUID = 1;

    public Refused(String message) {
      super(message, null, false, false);
    }
  }

  /** The ledger of a register that was never written. */
  public static final Ledger EMPTY = new Ledger(0, 0, List.of(), List.of(), List.of(), List.of());

  // These limits keep the text in the register small.
  private static final int MAX_TRAIL_ENTRIES = 120;
  private static final int MAX_ACTIVE_PLANS = 16;
  private static final int MAX_FINISHED_PLANS = 4;
  private static final int MAX_MACHINES = 300;
  private static final int MAX_TEXT_CHARACTERS = 120;

  private static final Gson GSON = new Gson();

  /**
   * Parses the text of a register; throws {@link IllegalArgumentException} if it is not a ledger.
   */
  public static Ledger parse(String text) {
    if (text.isEmpty()) {
      return EMPTY;
    }
    try {
      Ledger ledger = GSON.fromJson(text, Ledger.class);
      boolean complete =
          ledger != null
              && ledger.plans != null
              && ledger.machines != null
              && ledger.members != null
              && ledger.auditTrail != null
              && ledger.plans.stream()
                  .allMatch(
                      p -> p != null && p.id != null && p.state != null && p.whenOverdue != null)
              && ledger.machines.stream()
                  .allMatch(
                      m ->
                          m != null
                              && m.name != null
                              && m.plan != null
                              && m.stage != null
                              && m.forcedMembers != null)
              && ledger.members.stream()
                  .allMatch(m -> m != null && m.name() != null && m.processId() != null);
      if (!complete) {
        throw new IllegalArgumentException("no ledger of works");
      }
      return ledger;
    } catch (JsonParseException e) {
      throw new IllegalArgumentException("no ledger of works: " + e.getMessage(), e);
    }
  }

  /** The text that the register stores; {@link #parse} reads it back. */
  public String text() {
    return GSON.toJson(this);
  }

  // ---------------------------------------------------------------- queries

  /** The plan of that id, active or finished. */
  public Optional<Plan> plan(String id) {
    return plans.stream().filter(p -> p.id.equals(id)).findFirst();
  }

  /** The machine of that name in an unfinished stage of its plan, or null. */
  public Machine activeMachine(String name) {
    return machines.stream()
        .filter(m -> m.name.equals(name) && !m.stage.isOver())
        .findFirst()
        .orElse(null);
  }

  /** The bans in force: by machine, the step that began each. */
  public Map<String, Long> bans() {
    Map<String, Long> bans = new LinkedHashMap<>();
    machines.stream().filter(m -> m.stage.isOut()).forEach(m -> bans.put(m.name, m.banStep));
    return bans;
  }

  /** Whether this process may send calls. */
  public boolean isMember(Member member) {
    return members.contains(member);
  }

  /** Whether the front ends have to act for some plan. */
  public boolean isActive() {
    return plans.stream().anyMatch(p -> !p.state.isOver())
        || machines.stream().anyMatch(m -> m.stage.isMissing());
  }

  // ---------------------------------------------------------------- the members

  /**
   * Allows a front-end process to send calls.
   *
   * @param alone whether no other process of the same name runs beside it; entries of earlier
   *     processes are then removed
   */
  public Ledger join(Member member, boolean alone) {
    List<Member> next = new ArrayList<>(members);
    next.removeIf(o -> o.equals(member) || alone && o.name.equals(member.name));
    next.add(member);
    return next.equals(members)
        ? this
        : new Ledger(fence, steps + 1, List.copyOf(next), plans, machines, auditTrail);
  }

  /** Removes a process that sends no more calls. */
  public Ledger leave(Member member) {
    List<Member> next = new ArrayList<>(members);
    return next.remove(member)
        ? new Ledger(fence, steps + 1, List.copyOf(next), plans, machines, auditTrail)
        : this;
  }

  /**
   * Removes a front end that will not come back, on an operator's order; machines no longer wait
   * for its confirmation.
   */
  public Ledger removeMember(String operator, String name) {
    List<Member> next = new ArrayList<>(members);
    if (!next.removeIf(o -> o.name.equals(name))) {
      throw new Refused(name + " is not on the roll");
    }
    return new Ledger(fence, steps, List.copyOf(next), plans, machines, auditTrail)
        .withEntry(operator, name + " taken off the roll by force", 0);
  }

  // ---------------------------------------------------------------- what operators order

  /** Adds a plan with all of its machines, or refuses it. */
  public Ledger addPlan(Plan plan, List<Machine> wanted) {
    if (wanted.isEmpty()) {
      throw new Refused("the plan names no machine");
    }
    if (plan.maxMissing < 1
        || plan.minReady < 0
        || plan.minReadyPerHall < 0
        || plan.stageLimitMillis < 1
        || plan.purpose.length() > MAX_TEXT_CHARACTERS
        || !plan.id.matches("[\\w.-]{1,32}")) {
      throw new Refused("the plan has figures that can't be");
    }
    if (plan(plan.id).isPresent()) {
      throw new Refused("there is a plan " + plan.id + " already");
    }
    if (plans.stream().filter(o -> !o.state.isOver()).count() >= MAX_ACTIVE_PLANS
        || machines.size() + wanted.size() > MAX_MACHINES) {
      throw new Refused(
          "too many plans or machines: "
              + MAX_ACTIVE_PLANS
              + " and "
              + MAX_MACHINES
              + " at the most");
    }
    for (Machine m : wanted) {
      if (!m.plan.equals(plan.id) || m.stage != Stage.WAITING) {
        throw new Refused(m.name + " is of another plan, or not waiting");
      }
      Machine other = activeMachine(m.name);
      if (other != null) {
        throw new Refused(m.name + " is in plan " + other.plan + " already");
      }
    }
    List<Plan> nextPlans = new ArrayList<>(plans);
    nextPlans.add(plan);
    List<Machine> nextMachines = new ArrayList<>(machines);
    nextMachines.addAll(wanted);
    return new Ledger(
            fence, steps, members, List.copyOf(nextPlans), List.copyOf(nextMachines), auditTrail)
        .withEntry(
            plan.requestedBy, "plan " + plan.id + " of " + wanted.size() + ": " + plan.purpose, 0)
        .withoutOldPlans();
  }

  /** Stops a plan until an operator resumes it; machines that are out stay out. */
  public Ledger pause(String operator, String id) {
    return change(
        operator,
        id,
        p -> p.withState(State.PAUSED, "paused by " + operator),
        "paused",
        State.RUNNING,
        State.HELD);
  }

  /** Lets a paused or held plan go on. */
  public Ledger resume(String operator, String id) {
    return change(
        operator, id, p -> p.withState(State.RUNNING, ""), "resumed", State.PAUSED, State.HELD);
  }

  /** Lets the machines of a plan go before those of other plans. */
  public Ledger markUrgent(String operator, String id) {
    return change(operator, id, Plan::asUrgent, "urgent", State.RUNNING, State.PAUSED, State.HELD);
  }

  /**
   * Ends a plan early: no further machine goes out, machines that are not free for work yet come
   * back, and free ones stay out until an operator reports the work as done.
   */
  public Ledger cancel(String operator, String id) {
    Ledger cancelled =
        change(
            operator,
            id,
            p -> p.withState(State.CANCELLED, "cancelled by " + operator),
            "cancelled",
            State.RUNNING,
            State.PAUSED,
            State.HELD);
    List<Machine> next =
        cancelled.machines.stream()
            .map(
                m ->
                    m.plan.equals(id) && m.stage.leadsTo(Stage.SKIPPED)
                        ? m.atStage(Stage.SKIPPED, m.startedAtMillis, m.banStep, "cancelled")
                        : m)
            .toList();
    return new Ledger(
        cancelled.fence,
        cancelled.steps,
        cancelled.members,
        cancelled.plans,
        next,
        cancelled.auditTrail);
  }

  private Ledger change(
      String operator, String id, UnaryOperator<Plan> change, String action, State... from) {
    Plan plan = plan(id).orElseThrow(() -> new Refused("there is no plan " + id));
    if (!List.of(from).contains(plan.state)) {
      throw new Refused("plan " + id + " is " + plan.state.name().toLowerCase(Locale.ROOT));
    }
    return withPlan(change.apply(plan)).withEntry(operator, "plan " + id + " " + action, 0);
  }

  /** Takes a machine out of its plan. */
  public Ledger skip(String operator, String name) {
    return moveByOperator(operator, name, Stage.SKIPPED, "skipped");
  }

  /** Records that the work on a machine is done: it may serve again, and is still cold. */
  public Ledger markDone(String operator, String name) {
    return moveByOperator(operator, name, Stage.BACK, "done");
  }

  private Ledger moveByOperator(String operator, String name, Stage to, String action) {
    Machine machine = requireMachine(name);
    if (!machine.stage.leadsTo(to)) {
      throw new Refused(
          name
              + " is "
              + machine.stage.name().toLowerCase(Locale.ROOT)
              + " and can't be "
              + action);
    }
    return withMachine(
            machine.atStage(
                to, machine.startedAtMillis, machine.banStep, action + " by " + operator))
        .withEntry(operator, name + " " + action, 0);
  }

  /** Counts a front end as having confirmed that it stopped sending to a machine. */
  public Ledger force(String operator, String name, String member) {
    Machine machine = requireMachine(name);
    if (machine.stage != Stage.GOING && machine.stage != Stage.QUIET) {
      throw new Refused(name + " waits for nobody");
    }
    if (members.stream().noneMatch(o -> o.name.equals(member))) {
      throw new Refused(member + " is not on the roll");
    }
    List<String> forced = new ArrayList<>(machine.forcedMembers);
    forced.add(member);
    return withMachine(
            new Machine(
                machine.name,
                machine.hall,
                machine.plan,
                machine.stage,
                machine.startedAtMillis,
                machine.banStep,
                machine.overdue,
                List.copyOf(forced),
                machine.note))
        .withEntry(operator, name + " forced for " + member, 0);
  }

  /** The machine of that name; refuses if no plan is working on it. */
  private Machine requireMachine(String name) {
    Machine machine = activeMachine(name);
    if (machine == null) {
      throw new Refused(name + " is in no plan");
    }
    return machine;
  }

  // ---------------------------------------------------------------- what the holder drives

  /** Refuses a holder that was paused and goes on after another holder took over. */
  private Ledger withFence(long holderFence) {
    if (holderFence < fence) {
      throw new Refused("fence " + holderFence + " is old, " + fence + " has driven");
    }
    return new Ledger(holderFence, steps, members, plans, machines, auditTrail);
  }

  /** Records that another holder drives the plans from now on. */
  public Ledger takeOver(long holderFence) {
    return withFence(holderFence).withEntry("holder", "takes over", holderFence);
  }

  /**
   * Moves a machine on to its next stage.
   *
   * @param startedAtMillis last start of the machine, as the worker list has it
   * @param note why, or empty
   */
  public Ledger advance(
      long holderFence, String name, Stage to, long startedAtMillis, String note) {
    Ledger next = withFence(holderFence);
    Machine machine = next.requireMachine(name);
    if (!machine.stage.leadsTo(to)) {
      throw new Refused(name + " is " + machine.stage + " and can't be " + to);
    }
    long banStep = to == Stage.GOING ? steps + 1 : machine.banStep;
    return next.withMachine(machine.atStage(to, startedAtMillis, banStep, note))
        .withEntry(
            "holder",
            name + " " + to.name().toLowerCase(Locale.ROOT) + (note.isEmpty() ? "" : ": " + note),
            holderFence);
  }

  /** Marks a machine that has stayed in its stage for longer than its plan allows. */
  public Ledger markOverdue(long holderFence, String name) {
    Ledger next = withFence(holderFence);
    Machine machine = next.requireMachine(name);
    if (machine.overdue) {
      throw new Refused(name + " is known to be overdue");
    }
    return next.withMachine(
            new Machine(
                machine.name,
                machine.hall,
                machine.plan,
                machine.stage,
                machine.startedAtMillis,
                machine.banStep,
                true,
                machine.forcedMembers,
                machine.note))
        .withEntry("holder", name + " overdue", holderFence);
  }

  /**
   * Stops a running plan until the reason has passed or an operator resumes it; no further machine
   * goes out.
   */
  public Ledger hold(long holderFence, String id, String reason) {
    return changeByHolder(holderFence, id, State.RUNNING, State.HELD, reason);
  }

  /** Lets a held plan go on. */
  public Ledger release(long holderFence, String id) {
    return changeByHolder(holderFence, id, State.HELD, State.RUNNING, "");
  }

  /** Ends a plan whose machines are all done, skipped or failed. */
  public Ledger endPlan(long holderFence, String id) {
    Ledger next = changeByHolder(holderFence, id, State.RUNNING, State.ENDED, "");
    if (next.machines.stream().anyMatch(m -> m.plan.equals(id) && !m.stage.isOver())) {
      throw new Refused("plan " + id + " has machines that are not through");
    }
    return next.withoutOldPlans();
  }

  private Ledger changeByHolder(long holderFence, String id, State from, State to, String reason) {
    Ledger next = withFence(holderFence);
    Plan plan = next.plan(id).orElseThrow(() -> new Refused("there is no plan " + id));
    if (plan.state != from) {
      throw new Refused("plan " + id + " is " + plan.state);
    }
    return next.withPlan(plan.withState(to, reason))
        .withEntry(
            "holder",
            "plan "
                + id
                + " "
                + to.name().toLowerCase(Locale.ROOT)
                + (reason.isEmpty() ? "" : ": " + reason),
            holderFence);
  }

  // ---------------------------------------------------------------- the next ledger

  private Ledger withPlan(Plan changed) {
    return new Ledger(
        fence,
        steps,
        members,
        plans.stream().map(p -> p.id.equals(changed.id) ? changed : p).toList(),
        machines,
        auditTrail);
  }

  private Ledger withMachine(Machine changed) {
    return new Ledger(
        fence,
        steps,
        members,
        plans,
        machines.stream()
            .map(m -> m.name.equals(changed.name) && !m.stage.isOver() ? changed : m)
            .toList(),
        auditTrail);
  }

  private Ledger withEntry(String actor, String action, long holderFence) {
    List<Entry> next = new ArrayList<>(auditTrail);
    next.add(
        new Entry(
            steps + 1,
            actor,
            action.length() > MAX_TEXT_CHARACTERS
                ? action.substring(0, MAX_TEXT_CHARACTERS)
                : action,
            holderFence));
    return new Ledger(
        fence,
        steps + 1,
        members,
        plans,
        machines,
        List.copyOf(next.subList(Math.max(0, next.size() - MAX_TRAIL_ENTRIES), next.size())));
  }

  /** Drops the oldest finished plans, so that the register stays small. */
  private Ledger withoutOldPlans() {
    List<String> finished =
        plans.stream()
            .filter(
                p ->
                    p.state.isOver()
                        && machines.stream()
                            .allMatch(m -> !m.plan.equals(p.id) || m.stage.isOver()))
            .map(Plan::id)
            .toList();
    List<String> dropped = finished.subList(0, Math.max(0, finished.size() - MAX_FINISHED_PLANS));
    return new Ledger(
        fence,
        steps,
        members,
        plans.stream().filter(p -> !dropped.contains(p.id)).toList(),
        machines.stream().filter(m -> !dropped.contains(m.plan)).toList(),
        auditTrail);
  }
}
