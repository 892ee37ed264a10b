package umberrun.lease.net;

import io.vertx.core.Vertx;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import umberrun.consensus.Proposer;
import umberrun.consensus.net.RegisterManager;
import umberrun.core.Clock;
import umberrun.lease.FenceRegistry;
import umberrun.lease.Lease;
import umberrun.lease.LeaseElector;
import umberrun.stats.Counters;
import umberrun.stats.Counters.Count;
import umberrun.stats.EventLog;

/**
 * One duty in a front end: its claimant, carried over a way of its own to the registers, and what
 * is done while it is held.
 */
public final class DutyRunner implements LeaseElector.Outbox {
  /** What the holder does. */
  public interface DutyTask {
    /**
     * Held from now on; {@code mayAct} gives the fence, or -1, and is asked at the moment of each
     * act.
     */
    void start(LongSupplier mayAct);

    void stop();
  }

  private static final String REGISTER = "duty/";
  private static final long MS = 1_000;

  final String name;
  final String hall;
  final LeaseElector claimant;
  private final Vertx vertx;
  private final Clock clock;
  private final Counters counters;
  private final EventLog journal;
  private final RegisterManager.RegisterClient way;
  private final FenceRegistry fences;
  private final DutyTask work;
  private final Consumer<Boolean> told;
  private long timer = -1;
  private long fence = -1;
  private long since;

  /** An operator had it given back: somebody else is to have it first. */
  private long restsUntil;

  private boolean fit;

  /** Who gave it back lately, and until when others come first. */
  private final Map<String, Long> resting = new LinkedHashMap<>();

  /**
   * @param hall that it concerns, or empty
   * @param told is told when it was taken (true) or given back, so that others may look at once
   */
  DutyRunner(
      String name,
      String hall,
      Vertx vertx,
      Clock clock,
      Counters counters,
      EventLog journal,
      RegisterManager.RegisterClient way,
      FenceRegistry fences,
      DutyTask work,
      Consumer<Boolean> told,
      Function<LeaseElector.Outbox, LeaseElector> claimant) {
    this.name = name;
    this.hall = hall;
    this.vertx = vertx;
    this.clock = clock;
    this.counters = counters;
    this.journal = journal;
    this.way = way;
    this.fences = fences;
    this.work = work;
    this.told = told;
    this.claimant = claimant.apply(this);
  }

  boolean isHeld() {
    return fence >= 0;
  }

  /** Whether this front end should have it, and how it stands for it. */
  void stand(boolean should, boolean close, long delay) {
    long now = clock.now();
    claimant.setPriority(now, close, delay);
    boolean next = should && now >= restsUntil;
    if (next != fit) {
      fit = next;
      claimant.setEligible(now, next);
    }
  }

  /** Somebody says that it has changed hands; {@code given} where it was given back. */
  void changedHands(String by, boolean given, long rest) {
    long now = clock.now();
    resting.values().removeIf(until -> until <= now);
    if (given) {
      resting.put(by, now + rest);
    }
    claimant.refresh(now);
  }

  /** Whether a front end stays out of it, by its own word. */
  boolean rests(String who) {
    return resting.getOrDefault(who, 0L) > clock.now();
  }

  /** Gives it back by an operator's word, and stays out of it for a while. */
  boolean release(long rest) {
    if (!isHeld()) {
      return false;
    }
    restsUntil = clock.now() + rest;
    stand(false, false, 0);
    return true;
  }

  /** An act was refused by who has seen a greater fence: it is another's. */
  void overtaken() {
    counters.add(Count.ACTS_REFUSED);
    release(0);
  }

  Lease seen() {
    return claimant.lastLease();
  }

  long sinceMillis() {
    return (clock.now() - (isHeld() ? since : claimant.lastChangedAt())) / MS;
  }

  @Override
  public void read(long until) {
    way.read(REGISTER + name, until, this::over);
  }

  @Override
  public void propose(Proposer.Change change, long until) {
    way.change(REGISTER + name, change, until, this::over);
  }

  private void over(umberrun.consensus.RegisterValue v) {
    long before = claimant.lastLease().fence();
    boolean held = !claimant.lastLease().holder().isEmpty();
    if (v != null) {
      fences.observe(name, Lease.parse(v).fence());
    }
    claimant.onRegisterResult(clock.now(), v);
    if (v != null
        && held
        && Lease.parse(v).holder().isEmpty()
        && before == Lease.parse(v).fence()
        && !fit) {
      told.accept(false);
    }
  }

  @Override
  public void startTimer(long at) {
    vertx.cancelTimer(timer);
    timer =
        vertx.setTimer(
            Math.max(1, (at - clock.now() + MS - 1) / MS), t -> claimant.onTimer(clock.now()));
  }

  @Override
  public void onFenceChange(long to, String cause) {
    long now = clock.now();
    Map<String, Object> figures = new LinkedHashMap<>();
    figures.put("duty", name);
    figures.put("fence", to >= 0 ? to : fence);
    figures.put("cause", cause);
    if (to >= 0) {
      figures.put("without_a_holder_ms", claimant.vacancy(now) / MS);
      counters.add(Count.LEASES_TAKEN);
    } else {
      figures.put("held_ms", (now - since) / MS);
      counters.add(cause.equals("given back") ? Count.LEASES_GIVEN_BACK : Count.LEASES_LOST);
    }
    boolean held = isHeld();
    fence = to;
    since = now;
    journal.log(to >= 0 ? "taken" : "no longer held", figures);
    if (held) {
      work.stop();
    }
    if (to >= 0) {
      work.start(() -> claimant.activeFence(clock.now()));
      told.accept(true);
    }
  }

  /** Stops its wait: the process ends. */
  void close() {
    vertx.cancelTimer(timer);
    if (isHeld()) {
      fence = -1;
      work.stop();
    }
  }
}
