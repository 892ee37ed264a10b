package umberrun.discovery;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The permission to send new work to a worker, as a lease. Contact with discovery renews the leases
 * of all workers; work that a worker accepted renews its own, from the moment when that work was
 * sent. Nothing else does: a response to a probe does not, as a draining worker may still give one.
 * Free of I/O and of clocks; times are microseconds of one monotonic clock.
 *
 * <p>While discovery responds, all leases are renewed by that alone and no worker is asked for
 * anything.
 */
public final class WorkerLeases {
  /**
   * The interval between reviews, in microseconds. A worker is held back this long before its lease
   * ends, as the decision to send is reviewed no more often.
   */
  public static final long REVIEW_INTERVAL_MICROS = 250_000;

  /** A lease with less time remaining is renewed by work, where there is any. */
  private static final long RENEW_WITHIN_MICROS = 5_500_000;

  /** With less time remaining the renewal is urgent. */
  private static final long URGENT_MICROS = 3_000_000;

  /**
   * How long a call or preload request has to renew a lease before another renewal is requested.
   */
  private static final long RENEWAL_TIMEOUT_MICROS = 1_000_000;

  /** An odd number whose multiples look random in their upper bits. */
  private static final int SCATTER_MULTIPLIER = 0x9e3779b1;

  private static final long NEVER = Long.MIN_VALUE / 2;

  /** A lease that ends after {@code remaining} microseconds unless its worker accepts work. */
  public record ExpiringLease(int worker, long remaining) {}

  /**
   * The changes that a review found.
   *
   * @param heldBack workers that may no longer be sent work
   * @param released workers that may be sent work again
   * @param restarted workers whose inferred start has changed
   * @param expiring leases to be renewed, the shortest first
   */
  public record Review(
      List<Integer> heldBack,
      List<Integer> released,
      List<Integer> restarted,
      List<ExpiringLease> expiring) {
    /** How many of the expiring leases, from the first on, are urgent. */
    public int urgent() {
      return (int) expiring.stream().filter(lease -> lease.remaining < URGENT_MICROS).count();
    }

    /** Whether no worker was held back, released or found restarted. */
    public boolean isEmpty() {
      return heldBack.isEmpty() && released.isEmpty() && restarted.isEmpty();
    }
  }

  private final DiscoveryContact contact;

  /**
   * Differs between front ends, so that leases which end at the same time are renewed by each in an
   * order of its own, and together they keep all workers in use.
   */
  private final int salt;

  /** When work that a worker accepted was last sent to it. */
  private final Map<Integer, Long> provenAt = new HashMap<>();

  /** When a renewal of the worker's lease was last tried. */
  private final Map<Integer, Long> renewalTriedAt = new HashMap<>();

  /**
   * When a worker's address last refused a connection, which shows that the process there had
   * ended.
   */
  private final Map<Integer, Long> connectionRefusedAt = new HashMap<>();

  /** The workers that are held back, and since when. */
  private final Map<Integer, Long> heldBackSince = new HashMap<>();

  /**
   * Workers that count as restarted although discovery did not report it, and when they started.
   */
  private final Map<Integer, Long> restartedAt = new HashMap<>();

  /**
   * @param salt a value that differs between front ends
   */
  public WorkerLeases(DiscoveryContact contact, int salt) {
    this.contact = contact;
    this.salt = salt;
  }

  /** Records that a worker accepted work that was sent at {@code sentAt}: it did not drain then. */
  public void recordAcceptedWork(int worker, long sentAt) {
    provenAt.merge(worker, sentAt, Math::max);
  }

  /**
   * Records that a worker's address refused a connection: whatever responds there later has started
   * since.
   */
  public void recordConnectionRefused(int worker, long at) {
    connectionRefusedAt.put(worker, at);
  }

  /** Forgets a worker that is gone; one that returns under its name counts as another worker. */
  public void forget(int worker) {
    provenAt.remove(worker);
    renewalTriedAt.remove(worker);
    connectionRefusedAt.remove(worker);
    heldBackSince.remove(worker);
    restartedAt.remove(worker);
  }

  /**
   * Until when new work may be written to a worker; {@link Long#MAX_VALUE} where no discovery is
   * followed, which could become unreachable.
   */
  public long leaseUntil(int worker) {
    if (!contact.isFollowed()) {
      return Long.MAX_VALUE;
    }
    return contact.leaseUntil(
        Math.max(contact.lastResponseAt(), provenAt.getOrDefault(worker, NEVER)));
  }

  /** Whether a worker is held back, as of the last review. */
  public boolean isHeldBack(int worker) {
    return heldBackSince.containsKey(worker);
  }

  /** Since when a worker is held back; to be called for such workers only. */
  public long heldBackSince(int worker) {
    return heldBackSince.get(worker);
  }

  /** How many workers are held back. */
  public int heldBackCount() {
    return heldBackSince.size();
  }

  /**
   * When a worker restarted, as inferred without a report by discovery; 0 where no restart is
   * inferred.
   */
  public long startedAt(int worker) {
    return restartedAt.getOrDefault(worker, 0L);
  }

  /**
   * Reviews all leases. To be called every {@link #REVIEW_INTERVAL_MICROS}, and after each contact
   * with discovery.
   */
  public Review review(long now, Iterable<Integer> listed) {
    Review review =
        new Review(new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
    boolean unreachable = contact.isUnreachable(now);
    boolean allLeasesValid =
        !contact.isFollowed()
            || contact.leaseUntil(contact.lastResponseAt()) - now > REVIEW_INTERVAL_MICROS;
    if (!unreachable && allLeasesValid && heldBackSince.isEmpty() && restartedAt.isEmpty()) {
      return review;
    }
    for (int worker : listed) {
      reviewLease(worker, now, unreachable, review);
      reviewStart(worker, now, review);
    }
    review.expiring.sort(
        Comparator.comparingLong(ExpiringLease::remaining)
            .thenComparingInt(lease -> (lease.worker ^ salt) * SCATTER_MULTIPLIER));
    return review;
  }

  private void reviewLease(int worker, long now, boolean unreachable, Review review) {
    long remaining = leaseUntil(worker) - now;
    boolean expired = remaining <= REVIEW_INTERVAL_MICROS;
    if (expired && heldBackSince.putIfAbsent(worker, now) == null) {
      review.heldBack.add(worker);
    } else if (!expired && heldBackSince.remove(worker) != null) {
      review.released.add(worker);
    }
    if (unreachable
        && !expired
        && remaining < RENEW_WITHIN_MICROS
        && now - renewalTriedAt.getOrDefault(worker, NEVER) >= RENEWAL_TIMEOUT_MICROS) {
      review.expiring.add(new ExpiringLease(worker, remaining));
    }
  }

  /**
   * A worker whose address refused a connection since the last response of discovery counts as
   * restarted once discovery would have reported it.
   */
  private void reviewStart(int worker, long now, Review review) {
    Long refusedAt = connectionRefusedAt.get(worker);
    boolean isRestarted =
        refusedAt != null
            && refusedAt > contact.lastResponseAt()
            && now >= refusedAt + DiscoveryContact.REPORT_DELAY_MICROS - REVIEW_INTERVAL_MICROS;
    Long previous = isRestarted ? restartedAt.put(worker, refusedAt) : restartedAt.remove(worker);
    if (isRestarted ? !refusedAt.equals(previous) : previous != null) {
      review.restarted.add(worker);
    }
  }

  /** Records that a renewal of this worker's lease was tried. */
  public void recordRenewalAttempt(int worker, long now) {
    renewalTriedAt.put(worker, now);
  }

  /**
   * The remaining time of each worker's lease, for a process that takes over. Leaves out workers
   * that are held back.
   */
  public Map<Integer, Long> remaining(long now, Iterable<Integer> listed) {
    Map<Integer, Long> byWorker = new HashMap<>();
    for (int worker : listed) {
      long remaining = leaseUntil(worker) - now;
      if (contact.isFollowed() && remaining > REVIEW_INTERVAL_MICROS) {
        byWorker.put(worker, remaining);
      }
    }
    return byWorker;
  }

  /**
   * Takes over the leases of the process that this one replaces, with the remaining times given, in
   * place of the list that this process started with, which may be older. Does nothing once this
   * process has had a response of discovery itself.
   *
   * @param remaining the remaining time of the leases in microseconds, by worker number
   * @param now when {@code remaining} was recorded, which may be some time ago
   * @param initialResponseAt the time of the last response that this process knew by its
   *     configuration
   */
  public void takeOver(Map<Integer, Long> remaining, long now, long initialResponseAt) {
    if (contact.lastResponseAt() > initialResponseAt) {
      return;
    }
    contact.discardResponses();
    remaining.forEach((worker, lease) -> recordAcceptedWork(worker, contact.provenAt(now, lease)));
  }
}
