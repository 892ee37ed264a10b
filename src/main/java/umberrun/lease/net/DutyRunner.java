package umberrun.lease.net;

import io.vertx.core.Vertx;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import umberrun.consensus.Proposer;
import umberrun.consensus.RegisterValue;
import umberrun.consensus.net.RegisterManager;
import umberrun.core.Clock;
import umberrun.lease.FenceRegistry;
import umberrun.lease.Lease;
import umberrun.lease.LeaseElector;
import umberrun.stats.Counters;
import umberrun.stats.Counters.Count;
import umberrun.stats.EventLog;

/**
 * Runs one duty in a front end: drives its {@link LeaseElector} with timers and a register client
 * of its own, and starts and stops the duty's task as the lease is taken and lost.
 */
public final class DutyRunner implements LeaseElector.Outbox {
  /** The work of a duty, done by its holder. */
  public interface DutyTask {
    /**
     * Starts the work; the duty is held from now on.
     *
     * @param activeFence gives the fence under which the task may act right now, or -1 if it may
     *     not; must be called at the moment of each act
     */
    void start(LongSupplier activeFence);

    /** Stops the work; the duty is no longer held. */
    void stop();
  }

  private static final String REGISTER_PREFIX = "duty/";
  private static final long MICROS_PER_MILLI = 1_000;

  final String name;
  final String hall;
  final LeaseElector elector;
  private final Vertx vertx;
  private final Clock clock;
  private final Counters counters;
  private final EventLog eventLog;
  private final RegisterManager.RegisterClient registerClient;
  private final FenceRegistry fences;
  private final DutyTask task;
  private final Consumer<Boolean> onHolderChange;
  private long timer = -1;

  /** -1 while the duty is not held. */
  private long fence = -1;

  private long fenceChangedAt;

  /**
   * Until when this front end leaves the duty to others after a release on request, in microseconds
   * of the clock.
   */
  private long ineligibleUntil;

  private boolean eligible;

  /** Front ends that gave the duty back lately, and until when they leave it to others. */
  private final Map<String, Long> abstainingUntil = new LinkedHashMap<>();

  /**
   * @param hall that the duty is for, or empty if it is for none
   * @param onHolderChange called when this front end has taken the duty (true) or given it back
   *     (false), so that it can notify the others
   * @param makeElector creates the elector, with this runner as its outbox
   */
  DutyRunner(
      String name,
      String hall,
      Vertx vertx,
      Clock clock,
      Counters counters,
      EventLog eventLog,
      RegisterManager.RegisterClient registerClient,
      FenceRegistry fences,
      DutyTask task,
      Consumer<Boolean> onHolderChange,
      Function<LeaseElector.Outbox, LeaseElector> makeElector) {
    this.name = name;
    this.hall = hall;
    this.vertx = vertx;
    this.clock = clock;
    this.counters = counters;
    this.eventLog = eventLog;
    this.registerClient = registerClient;
    this.fences = fences;
    this.task = task;
    this.onHolderChange = onHolderChange;
    this.elector = makeElector.apply(this);
  }

  boolean isHeld() {
    return fence >= 0;
  }

  /**
   * Updates the standing of this front end among the candidates.
   *
   * @param mayHold whether it may hold the duty
   * @param watching see {@link LeaseElector#setPriority}
   * @param takeoverDelay see {@link LeaseElector#setPriority}
   */
  void updateCandidacy(boolean mayHold, boolean watching, long takeoverDelay) {
    long now = clock.now();
    elector.setPriority(now, watching, takeoverDelay);
    boolean nowEligible = mayHold && now >= ineligibleUntil;
    if (nowEligible != eligible) {
      eligible = nowEligible;
      elector.setEligible(now, nowEligible);
    }
  }

  /**
   * Handles the message of another front end that it has taken the duty or given it back.
   *
   * @param released whether it gave the duty back
   * @param abstainMicros how long a front end that gave the duty back leaves it to others
   */
  void onRemoteHolderChange(String from, boolean released, long abstainMicros) {
    long now = clock.now();
    abstainingUntil.values().removeIf(until -> until <= now);
    if (released) {
      abstainingUntil.put(from, now + abstainMicros);
    }
    elector.refresh(now);
  }

  /** Whether a front end has given the duty back lately and now leaves it to others. */
  boolean isAbstaining(String frontEnd) {
    return abstainingUntil.getOrDefault(frontEnd, 0L) > clock.now();
  }

  /**
   * Gives the duty back and leaves it to others for a while.
   *
   * @return false if this front end does not hold it
   */
  boolean release(long abstainMicros) {
    if (!isHeld()) {
      return false;
    }
    ineligibleUntil = clock.now() + abstainMicros;
    updateCandidacy(false, false, 0);
    return true;
  }

  /** Gives the duty back after a receiver that has seen a higher fence refused an act. */
  void onActRefused() {
    counters.add(Count.FENCED_ACTIONS_REJECTED);
    release(0);
  }

  Lease lastLease() {
    return elector.lastLease();
  }

  /** Milliseconds since this front end took the duty, or since the register was seen to change. */
  long sinceMillis() {
    return (clock.now() - (isHeld() ? fenceChangedAt : elector.lastChangedAt())) / MICROS_PER_MILLI;
  }

  @Override
  public void read(long until) {
    registerClient.read(REGISTER_PREFIX + name, until, this::onRegisterResult);
  }

  @Override
  public void propose(Proposer.Change change, long until) {
    registerClient.change(REGISTER_PREFIX + name, change, until, this::onRegisterResult);
  }

  private void onRegisterResult(RegisterValue value) {
    long fenceBefore = elector.lastLease().fence();
    boolean heldBefore = !elector.lastLease().holder().isEmpty();
    if (value != null) {
      fences.observe(name, Lease.parse(value).fence());
    }
    elector.onRegisterResult(clock.now(), value);
    if (value != null
        && heldBefore
        && Lease.parse(value).holder().isEmpty()
        && fenceBefore == Lease.parse(value).fence()
        && !eligible) {
      onHolderChange.accept(false);
    }
  }

  @Override
  public void startTimer(long at) {
    vertx.cancelTimer(timer);
    timer =
        vertx.setTimer(
            Math.max(1, (at - clock.now() + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI),
            t -> elector.onTimer(clock.now()));
  }

  @Override
  public void onFenceChange(long newFence, String cause) {
    long now = clock.now();
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("duty", name);
    figures.put("fence", newFence >= 0 ? newFence : fence);
    figures.put("cause", cause);
    if (newFence >= 0) {
      figures.put("without_a_holder_ms", elector.vacancy(now) / MICROS_PER_MILLI);
      counters.add(Count.LEASES_TAKEN);
    } else {
      figures.put("held_ms", (now - fenceChangedAt) / MICROS_PER_MILLI);
      counters.add(cause.equals("given back") ? Count.LEASES_GIVEN_BACK : Count.LEASES_LOST);
    }
    boolean wasHeld = isHeld();
    fence = newFence;
    fenceChangedAt = now;
    eventLog.log(newFence >= 0 ? "taken" : "no longer held", figures);
    if (wasHeld) {
      task.stop();
    }
    if (newFence >= 0) {
      task.start(() -> elector.activeFence(clock.now()));
      onHolderChange.accept(true);
    }
  }

  /** Stops the timer and the task when the process ends. */
  void close() {
    vertx.cancelTimer(timer);
    if (isHeld()) {
      fence = -1;
      task.stop();
    }
  }
}
