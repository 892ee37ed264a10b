package umberrun.lease;

import java.util.function.UnaryOperator;
import java.util.random.RandomGenerator;
import umberrun.consensus.Proposer.Change;
import umberrun.consensus.RegisterValue;

/**
 * Leader election of one front end for one duty: watches the duty's register, takes the lease when
 * it is free, renews it and gives it back. Free of I/O, threads and clocks; times are in
 * microseconds of the local monotonic clock.
 *
 * <p>At most one front end may act at a time. A holder counts its lease from before it requested
 * the change, shortened by the clock drift bound. The others count it from when they first saw that
 * version, lengthened by the same bound, so the holder stops before anybody else takes the duty.
 * Each change applies only to the version that was seen, and each take raises the fence. The
 * argument is in {@code docs/leases.md}.
 */
public class LeaseElector {
  /**
   * Timing that all duties share.
   *
   * @param length of a lease, in microseconds
   * @param clockDrift bound on how much faster or slower than real time a clock may run, as a
   *     fraction
   * @param takeoverPause added to the time that other front ends wait, in microseconds. Not needed
   *     for safety: a holder that is late by less than this keeps its duty
   * @param requestTimeout after which a read or a change is given up, in microseconds
   */
  public record Settings(long length, double clockDrift, long takeoverPause, long requestTimeout) {}

  /** Requests of the elector to whoever runs it. */
  public interface Outbox {
    /**
     * Reads the register, until the given time at the latest; the result must be passed to {@link
     * LeaseElector#onRegisterResult}.
     */
    void read(long until);

    /**
     * Changes the register, until the given time at the latest; the result must be passed to {@link
     * LeaseElector#onRegisterResult}.
     */
    void propose(Change change, long until);

    /** Starts the only timer, replacing the one before. */
    void startTimer(long at);

    /**
     * The duty is now held under this fence, or no longer held (-1).
     *
     * @param cause a short text for the event log; "given back" if this front end gave it up
     */
    void onFenceChange(long fence, String cause);
  }

  /** A change of the version that was seen; it leaves any other version as it is. */
  private static final class VersionedChange implements Change {
    final long version;
    final UnaryOperator<Lease> change;

    /** Whether the last attempt made a new version. */
    boolean applied;

    VersionedChange(long version, UnaryOperator<Lease> change) {
      this.version = version;
      this.change = change;
    }

    @Override
    public RegisterValue apply(RegisterValue value) {
      applied = value.version() == version;
      return applied ? value.withText(change.apply(Lease.parse(value)).text()) : value;
    }
  }

  private static final int RENEWALS_PER_LEASE = 3;

  /**
   * Lease lengths between two reads by a front end that does not watch the duty. It still reads now
   * and then, so that a duty that no watcher takes is taken in the end.
   */
  private static final int IDLE_READ_LEASES = 3;

  private static final long MIN_READ_DELAY_MICROS = 1_000;

  private final Settings settings;
  private final String name;
  private final long startId;
  private final RandomGenerator random;
  private final Outbox out;
  private RegisterValue lastValue = RegisterValue.NONE;
  private long lastChangedAt;
  private boolean known;
  private boolean eligible = true;
  private boolean watching = true;
  private long takeoverDelay;
  private long vacantSince;
  private boolean requestPending;
  private long requestedAt;
  private VersionedChange pendingChange;
  private long fence = -1;
  private long heldUntil;

  /**
   * @param name of this front end
   * @param startId of this process
   */
  public LeaseElector(
      Settings settings, String name, long startId, RandomGenerator random, Outbox out) {
    this.settings = settings;
    this.name = name;
    this.startId = startId;
    this.random = random;
    this.out = out;
  }

  /** Reads the register for the first time. */
  public void start(long now) {
    if (!requestPending) {
      readRegister(now);
    }
  }

  /**
   * Sets whether this front end may hold the duty. A holder that becomes ineligible stops acting
   * before it gives the duty back.
   */
  public void setEligible(long now, boolean eligible) {
    this.eligible = eligible;
    if (!eligible && fence >= 0) {
      fence = -1;
      out.onFenceChange(-1, "given back");
      out.startTimer(now);
    }
  }

  /**
   * Sets the priority of this front end among the candidates while it does not hold the duty.
   *
   * @param watching whether it watches for the duty to become free; otherwise it reads the register
   *     only now and then
   * @param takeoverDelay time it waits once the duty is free, so that candidates of a higher
   *     priority come first
   */
  public void setPriority(long now, boolean watching, long takeoverDelay) {
    boolean startsWatching = watching && !this.watching;
    this.watching = watching;
    this.takeoverDelay = takeoverDelay;
    if (startsWatching && known) {
      refresh(now);
    }
  }

  /**
   * Reads the register now, on a hint that the duty may be free. The hint alone never lets it take
   * the duty.
   */
  public void refresh(long now) {
    if (!requestPending && fence < 0) {
      readRegister(now);
    }
  }

  /** The lease that the register held when it was last seen. */
  public Lease lastLease() {
    return Lease.parse(lastValue);
  }

  /** Whether the register was seen at all. */
  public boolean isKnown() {
    return known;
  }

  /** When the version of {@link #lastLease} was first seen. */
  public long lastChangedAt() {
    return lastChangedAt;
  }

  /** How long nobody held the duty before this front end took it, as far as it knows. */
  public long vacancy(long now) {
    return Math.max(0, now - vacantSince);
  }

  /** How long the lease is still valid without a renewal; 0 if it is not held. */
  public long remaining(long now) {
    return fence >= 0 ? Math.max(0, heldUntil - now) : 0;
  }

  /**
   * The fence under which this front end may act right now, or -1 if it may not. Must be called at
   * the moment of each act.
   */
  public long activeFence(long now) {
    return fence >= 0 && now < heldUntil ? fence : -1;
  }

  /** Must be called when the timer has expired. */
  public void onTimer(long now) {
    if (requestPending) {
      return;
    }
    if (fence >= 0 && now >= heldUntil) {
      fence = -1;
      out.onFenceChange(-1, "not renewed in time");
    }
    Lease lease = Lease.parse(lastValue);
    if (fence >= 0) {
      // A renewal is the same lease under the next version.
      proposeChange(now, UnaryOperator.identity());
    } else if (lease.isHeldBy(name, startId) && !eligible) {
      proposeChange(now, held -> new Lease("", 0, held.fence(), 0));
    } else if (eligible && known && (lease.isHeldBy(name, startId) || now >= takeoverTime(lease))) {
      vacantSince = lease.isHeld() ? lastChangedAt + lease.length() : lastChangedAt;
      proposeChange(now, this::nextLease);
    } else {
      readRegister(now);
    }
  }

  /**
   * Copies the state of another elector of the same process, for model checkers.
   *
   * @return the copy of the change whose result is awaited, or null
   */
  public Change copyStateFrom(LeaseElector other) {
    lastValue = other.lastValue;
    lastChangedAt = other.lastChangedAt;
    known = other.known;
    eligible = other.eligible;
    watching = other.watching;
    takeoverDelay = other.takeoverDelay;
    vacantSince = other.vacantSince;
    requestPending = other.requestPending;
    requestedAt = other.requestedAt;
    if (other.pendingChange != null) {
      pendingChange = new VersionedChange(other.pendingChange.version, other.pendingChange.change);
      pendingChange.applied = other.pendingChange.applied;
    }
    fence = other.fence;
    heldUntil = other.heldUntil;
    return pendingChange;
  }

  /**
   * Everything that decides the further behaviour, with times relative to {@code now}, by which
   * model checkers tell states apart.
   */
  public String stateText(long now) {
    return fence
        + " "
        + remaining(now)
        + " "
        + lastValue
        + " "
        + (known ? lastChangedAt - now : 0)
        + " "
        + eligible
        + watching
        + takeoverDelay
        + " "
        + (requestPending ? now - requestedAt : -1)
        + (pendingChange == null ? "" : pendingChange.version + " " + pendingChange.applied);
  }

  private long takeoverTime(Lease lease) {
    return (lease.isHeld() ? expiresAt(lease) : lastChangedAt) + takeoverDelay;
  }

  /** When the version that was seen has certainly expired, unless its holder renewed it. */
  protected long expiresAt(Lease lease) {
    return lastChangedAt
        + (long) (lease.length() * (1 + settings.clockDrift()))
        + settings.takeoverPause();
  }

  /**
   * Whether an own lease found in a request's result is valid from the time of that request. That
   * holds only if this request wrote it: others may have seen a lease of an earlier request before.
   *
   * @param applied whether the request wrote the value that was found
   */
  protected boolean isOwnLeaseValid(boolean applied) {
    return applied;
  }

  /** Start of the lease's length: the time of the request, which precedes its effect. */
  protected long leaseStart(long requestedAt, long answeredAt) {
    return requestedAt;
  }

  private Lease nextLease(Lease previous) {
    return new Lease(name, startId, previous.fence() + 1, settings.length());
  }

  private void proposeChange(long now, UnaryOperator<Lease> change) {
    beginRequest(now, new VersionedChange(lastValue.version(), change));
    out.propose(pendingChange, now + settings.requestTimeout());
  }

  private void readRegister(long now) {
    beginRequest(now, null);
    out.read(now + settings.requestTimeout());
  }

  private void beginRequest(long now, VersionedChange change) {
    requestPending = true;
    requestedAt = now;
    pendingChange = change;
  }

  /**
   * Must be called when a read or a change has ended.
   *
   * @param value what the register held then, or null if that is not known
   */
  public void onRegisterResult(long now, RegisterValue value) {
    requestPending = false;
    if (value == null || !isLease(value)) {
      // The last value and its time stay usable: if the value was replaced, its version differs.
      startTimer(now, settings.length() / RENEWALS_PER_LEASE / 2);
      return;
    }
    boolean changed = !known || value.version() != lastValue.version();
    if (changed) {
      lastValue = value;
      lastChangedAt = now;
      known = true;
    }
    Lease lease = Lease.parse(value);
    if (lease.isHeldBy(name, startId)
        && eligible
        && isOwnLeaseValid(pendingChange != null && pendingChange.applied)) {
      heldUntil =
          leaseStart(requestedAt, now) + (long) (settings.length() * (1 - settings.clockDrift()));
      if (fence != lease.fence()) {
        fence = lease.fence();
        out.onFenceChange(fence, "taken");
      }
      startTimer(now, settings.length() / RENEWALS_PER_LEASE);
    } else if (lease.isHeldBy(name, startId)) {
      // Written by a change whose answer was lost: its start is unknown, so it is renewed, taken
      // anew or given back at once.
      startTimer(now, 0);
    } else {
      if (fence >= 0) {
        fence = -1;
        out.onFenceChange(-1, "another holds it");
      }
      long maxDelay =
          watching ? settings.length() / RENEWALS_PER_LEASE : IDLE_READ_LEASES * settings.length();
      startTimer(
          now,
          watching
              ? Math.max(MIN_READ_DELAY_MICROS, Math.min(maxDelay, takeoverTime(lease) - now)) / 2
              : maxDelay);
    }
  }

  /** False for a value that no elector wrote; nobody takes the duty of such a register. */
  private static boolean isLease(RegisterValue value) {
    try {
      return Lease.parse(value) != null;
    } catch (IllegalArgumentException e) {
      return false;
    }
  }

  /** Waits 1 to 1.5 times the delay, so that front ends do not all send at the same moment. */
  private void startTimer(long now, long delay) {
    out.startTimer(now + (long) (delay * (1 + random.nextDouble() / 2)));
  }
}
