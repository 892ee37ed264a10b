package umberrun.lease;

import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;
import umberrun.consensus.Proposer.Change;
import umberrun.consensus.RegisterValue;

/**
 * One front end's part in one duty: watches who holds it, takes it when it is free, renews it,
 * gives it back. Free of I/O, threads and clocks; times are in microseconds of the own steady
 * clock. The argument for its safety is in {@code docs/leases.md}.
 */
public class LeaseElector {
  /**
   * Figures of all duties.
   *
   * @param length of a lease
   * @param clockDrift by how much a clock may run fast or slow, as a part
   * @param takeoverPause added to the time that others wait; not needed for safety, it spares a
   *     holder that is late by less
   * @param requestTimeout until a change is given up
   */
  public record Settings(long length, double clockDrift, long takeoverPause, long requestTimeout) {}

  /** What a claimant wants done. */
  public interface Outbox {
    /** Has the register read; {@code onRegisterResult} is owed for it. */
    void read(long until);

    /** Has the register changed; {@code onRegisterResult} is owed for it. */
    void propose(Change change, long until);

    /** Starts the one wait, in the place of the one before. */
    void startTimer(long at);

    /** Holds it from now on under this fence, or no longer (-1). */
    void onFenceChange(long fence, String cause);
  }

  /** A change of the version that was seen, which does nothing to any other. */
  private static final class Step implements Change {
    final long version;
    final UnaryOperator<Lease> change;

    /** Whether it made a new version at its last try. */
    boolean made;

    Step(long version, UnaryOperator<Lease> change) {
      this.version = version;
      this.change = change;
    }

    @Override
    public RegisterValue apply(RegisterValue v) {
      made = v.version() == version;
      return made ? v.withText(change.apply(Lease.parse(v)).text()) : v;
    }
  }

  private static final int RENEW_PART = 3;

  /**
   * Lengths between two looks of one that does not watch: it takes what nobody takes all the same.
   */
  private static final int FAR = 3;

  private final Settings settings;
  private final String name;
  private final long startId;
  private final RandomGenerator random;
  private final Outbox out;
  private RegisterValue lastLease = RegisterValue.NONE;
  private long lastChangedAt;
  private boolean known;
  private boolean setEligible = true;
  private boolean close = true;
  private long delay;
  private long freeSince;
  private boolean asking;
  private long askedAt;
  private Step step;
  private long fence = -1;
  private long holdsUntil;

  public LeaseElector(
      Settings settings, String name, long startId, RandomGenerator random, Outbox out) {
    this.settings = settings;
    this.name = name;
    this.startId = startId;
    this.random = random;
    this.out = out;
  }

  /** Begins to watch. */
  public void start(long now) {
    if (!asking) {
      watch(now);
    }
  }

  /** Whether this front end should have the duty; one that should not gives it back. */
  public void setEligible(long now, boolean should) {
    setEligible = should;
    if (!should && fence >= 0) {
      fence = -1; // first of all it no longer acts
      out.onFenceChange(-1, "given back");
      out.startTimer(now);
    }
  }

  /**
   * How this front end stands for the duty while it does not hold it.
   *
   * @param close whether it watches for the duty to be free; others look now and then
   * @param delay waited once it is free, so that those who are to have it before this one come
   *     first
   */
  public void setPriority(long now, boolean close, long delay) {
    boolean comes = close && !this.close;
    this.close = close;
    this.delay = delay;
    if (comes && known) {
      refresh(now);
    }
  }

  /**
   * Somebody says that the duty may be free: it is looked at now, and taken only where that is so.
   */
  public void refresh(long now) {
    if (!asking && fence < 0) {
      watch(now);
    }
  }

  /** What the register was seen to hold last. */
  public Lease lastLease() {
    return Lease.parse(lastLease);
  }

  /** Whether it was seen at all. */
  public boolean isKnown() {
    return known;
  }

  /** When that version was seen first. */
  public long lastChangedAt() {
    return lastChangedAt;
  }

  /** For how long nobody had the duty before this one took it, as far as it knows. */
  public long vacancy(long now) {
    return Math.max(0, now - freeSince);
  }

  /** For how long it still holds without a renewal. */
  public long remaining(long now) {
    return fence >= 0 ? Math.max(0, holdsUntil - now) : 0;
  }

  /**
   * The fence under which it may act at this moment, or -1. To be asked at the moment of each act.
   */
  public long activeFence(long now) {
    return fence >= 0 && now < holdsUntil ? fence : -1;
  }

  /** Its wait is over. */
  public void onTimer(long now) {
    if (asking) {
      return;
    }
    if (fence >= 0 && now >= holdsUntil) {
      fence = -1;
      out.onFenceChange(-1, "not renewed in time");
    }
    Lease l = Lease.parse(lastLease);
    if (fence >= 0) {
      ask(now, UnaryOperator.identity()); // the same under the next version
    } else if (l.isHeldBy(name, startId) && !setEligible) {
      ask(now, held -> new Lease("", 0, held.fence(), 0));
    } else if (setEligible && known && (l.isHeldBy(name, startId) || now >= takeAt(l))) {
      freeSince = l.isHeld() ? lastChangedAt + l.length() : lastChangedAt;
      ask(now, this::taken);
    } else {
      watch(now);
    }
  }

  /**
   * Goes on where another of the same process is, for explorers; the change that it now waits for,
   * or null.
   */
  public Change copyStateFrom(LeaseElector o) {
    lastLease = o.lastLease;
    lastChangedAt = o.lastChangedAt;
    known = o.known;
    setEligible = o.setEligible;
    close = o.close;
    delay = o.delay;
    freeSince = o.freeSince;
    asking = o.asking;
    askedAt = o.askedAt;
    if (o.step != null) {
      step = new Step(o.step.version, o.step.change);
      step.made = o.step.made;
    }
    fence = o.fence;
    holdsUntil = o.holdsUntil;
    return step;
  }

  /**
   * All that decides what it does next, with times as they are from {@code now} on, by which
   * explorers tell states apart.
   */
  public String stateText(long now) {
    return fence
        + " "
        + remaining(now)
        + " "
        + lastLease
        + " "
        + (known ? lastChangedAt - now : 0)
        + " "
        + setEligible
        + close
        + delay
        + " "
        + (asking ? now - askedAt : -1)
        + (step == null ? "" : step.version + " " + step.made);
  }

  private long takeAt(Lease l) {
    return (l.isHeld() ? expiresAt(l) : lastChangedAt) + delay;
  }

  /** From when on the version that was seen is surely no longer held. */
  protected long expiresAt(Lease l) {
    return lastChangedAt
        + (long) (l.length() * (1 + settings.clockDrift()))
        + settings.takeoverPause();
  }

  /**
   * Whether an own lease that a change found counts from when that change was asked for: only where
   * it was made by it. One that was made by an earlier change others may have seen before.
   */
  protected boolean isOwnLeaseValid(boolean madeNow) {
    return madeNow;
  }

  /** From when on the length of a lease counts: from before it was asked for. */
  protected long leaseStart(long asked, long answered) {
    return asked;
  }

  private Lease taken(Lease l) {
    return new Lease(name, startId, l.fence() + 1, settings.length());
  }

  private void ask(long now, UnaryOperator<Lease> change) {
    begin(now, new Step(lastLease.version(), change));
    out.propose(step, now + settings.requestTimeout());
  }

  private void watch(long now) {
    begin(now, null);
    out.read(now + settings.requestTimeout());
  }

  private void begin(long now, Step what) {
    asking = true;
    askedAt = now;
    step = what;
  }

  /** A change is over: what the register held then, or null where that is not known. */
  public void onRegisterResult(long now, RegisterValue v) {
    asking = false;
    if (v == null
        || !isLease(
            v)) { // what was seen, and when, still holds: if it was replaced, its version is
      // another by now
      rest(now, settings.length() / RENEW_PART / 2);
      return;
    }
    boolean news = !known || v.version() != lastLease.version();
    if (news) {
      lastLease = v;
      lastChangedAt = now;
      known = true;
    }
    Lease l = Lease.parse(v);
    if (l.isHeldBy(name, startId) && setEligible && isOwnLeaseValid(step != null && step.made)) {
      holdsUntil =
          leaseStart(askedAt, now) + (long) (settings.length() * (1 - settings.clockDrift()));
      if (fence != l.fence()) {
        fence = l.fence();
        out.onFenceChange(fence, "taken");
      }
      rest(now, settings.length() / RENEW_PART);
    } else if (l.isHeldBy(name, startId)) {
      rest(
          now,
          0); // of a change whose answer was lost: it counts from nobody knows when, so that it is
      // renewed or given back
    } else {
      if (fence >= 0) {
        fence = -1;
        out.onFenceChange(-1, "another holds it");
      }
      long most = close ? settings.length() / RENEW_PART : FAR * settings.length();
      rest(now, close ? Math.max(1_000, Math.min(most, takeAt(l) - now)) / 2 : most);
    }
  }

  /** Guards against what was written by none of us: of such a register nobody takes anything. */
  private static boolean isLease(RegisterValue v) {
    try {
      return Lease.parse(v) != null;
    } catch (IllegalArgumentException e) {
      return false;
    }
  }

  /** Waits for between one and one and a half of a time, so that many do not ask at one moment. */
  private void rest(long now, long time) {
    out.startTimer(now + (long) (time * (1 + random.nextDouble() / 2)));
  }
}
