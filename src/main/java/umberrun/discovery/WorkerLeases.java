package umberrun.discovery;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The permission to send new work to a worker, as a lease: contact with discovery renews it for all
 * workers, work that a worker took on renews it for that one, from the moment when it was sent.
 * Nothing else does; above all no answer to a probe, as a worker that drains may still give one.
 * Free of I/O and of clocks; times are in microseconds of one steady clock.
 *
 * <p>While discovery answers, the leases of all workers run on by themselves and nothing is asked
 * of anybody.
 */
public final class WorkerLeases {
  /**
   * A worker is held back this long before its lease ends: the decision to send is looked at no
   * more often.
   */
  public static final long REVIEW_INTERVAL = 250_000;

  /** A lease with less left is to be renewed by work, where there is any. */
  private static final long RENEW_WITHIN = 5_500_000;

  /** With less left it is urgent. */
  private static final long URGENT = 3_000_000;

  /** An order or call that should renew a lease has so long to do it. */
  private static final long RENEWAL_TAKES = 1_000_000;

  /** An odd number whose multiples look random in their upper bits. */
  private static final int SCATTER = 0x9e3779b1;

  private static final long NEVER = Long.MIN_VALUE / 2;

  /** A worker whose lease ends after {@code remaining} microseconds unless it takes on work. */
  public record ExpiringLease(int worker, long remaining) {}

  /**
   * What a review found: who may no longer be sent work, who may again, and whose lease is to be
   * renewed, the shortest first.
   */
  public record Review(
      List<Integer> heldBack,
      List<Integer> released,
      List<Integer> restarted,
      List<ExpiringLease> expiring) {
    /** How many of those that expire, from the first on, do so very soon. */
    public int urgent() {
      return (int) expiring.stream().filter(e -> e.remaining < URGENT).count();
    }

    public boolean isEmpty() {
      return heldBack.isEmpty() && released.isEmpty() && restarted.isEmpty();
    }
  }

  private final DiscoveryContact contact;

  /**
   * Leases that end at one moment are renewed in an order of each front end's own, so that together
   * they keep all workers in use.
   */
  private final int salt;

  private final Map<Integer, Long> provenAt = new HashMap<>();

  /** When a renewal was last tried. */
  private final Map<Integer, Long> triedAt = new HashMap<>();

  /** When a worker's address last refused a connection: the process there had ended. */
  private final Map<Integer, Long> refusedAt = new HashMap<>();

  /** Since when each of those that are held back is. */
  private final Map<Integer, Long> heldBack = new HashMap<>();

  /** Those whose start counts as told though discovery did not tell it, and when it was. */
  private final Map<Integer, Long> restarted = new HashMap<>();

  /**
   * @param salt another one at each front end
   */
  public WorkerLeases(DiscoveryContact contact, int salt) {
    this.contact = contact;
    this.salt = salt;
  }

  /** A worker took on work that was sent at that moment: it did not drain then. */
  public void recordAcceptedWork(int worker, long sentAt) {
    provenAt.merge(worker, sentAt, Math::max);
  }

  /** A worker's address refused a connection: whatever answers there later has started since. */
  public void recordConnectionRefused(int worker, long at) {
    refusedAt.put(worker, at);
  }

  /** A worker is gone; one that comes back under its name is another. */
  public void forget(int worker) {
    provenAt.remove(worker);
    triedAt.remove(worker);
    refusedAt.remove(worker);
    heldBack.remove(worker);
    restarted.remove(worker);
  }

  /**
   * Until when new work may be written to a worker; the greatest long where the list comes from
   * nowhere that could be lost.
   */
  public long leaseUntil(int worker) {
    if (!contact.isFollowed()) {
      return Long.MAX_VALUE;
    }
    return contact.leaseUntil(
        Math.max(contact.lastResponseAt(), provenAt.getOrDefault(worker, NEVER)));
  }

  /** Whether a worker counts as held back, as of the last review. */
  public boolean isHeldBack(int worker) {
    return heldBack.containsKey(worker);
  }

  /** Since when a worker is held back. */
  public long heldBackSince(int worker) {
    return heldBack.get(worker);
  }

  /** How many are held back. */
  public int heldBackCount() {
    return heldBack.size();
  }

  /**
   * When a worker started, as far as it counts as told though discovery did not tell it; else 0.
   */
  public long startedAt(int worker) {
    return restarted.getOrDefault(worker, 0L);
  }

  /**
   * Looks at all leases. To be called every {@link #REVIEW_INTERVAL}, and after each contact with
   * discovery.
   */
  public Review review(long now, Iterable<Integer> listed) {
    Review found =
        new Review(new ArrayList<>(), new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
    boolean away = contact.isUnreachable(now);
    boolean allHold =
        !contact.isFollowed()
            || contact.leaseUntil(contact.lastResponseAt()) - now > REVIEW_INTERVAL;
    if (!away && allHold && heldBack.isEmpty() && restarted.isEmpty()) {
      return found;
    }
    for (int worker : listed) {
      reviewLease(worker, now, away, found);
      reviewStart(worker, now, found);
    }
    found.expiring.sort(
        Comparator.comparingLong(ExpiringLease::remaining)
            .thenComparingInt(e -> (e.worker ^ salt) * SCATTER));
    return found;
  }

  private void reviewLease(int worker, long now, boolean away, Review found) {
    long left = leaseUntil(worker) - now;
    boolean over = left <= REVIEW_INTERVAL;
    if (over && heldBack.putIfAbsent(worker, now) == null) {
      found.heldBack.add(worker);
    } else if (!over && heldBack.remove(worker) != null) {
      found.released.add(worker);
    }
    if (away
        && !over
        && left < RENEW_WITHIN
        && now - triedAt.getOrDefault(worker, NEVER) >= RENEWAL_TAKES) {
      found.expiring.add(new ExpiringLease(worker, left));
    }
  }

  private void reviewStart(int worker, long now, Review found) {
    Long at = refusedAt.get(worker);
    boolean counts =
        at != null
            && at > contact.lastResponseAt()
            && now >= at + DiscoveryContact.TOLD - REVIEW_INTERVAL;
    Long before = counts ? restarted.put(worker, at) : restarted.remove(worker);
    if (counts ? !at.equals(before) : before != null) {
      found.restarted.add(worker);
    }
  }

  /** A renewal of this worker's lease was tried. */
  public void recordRenewalAttempt(int worker, long now) {
    triedAt.put(worker, now);
  }

  /**
   * What is left of each worker's lease, for a process that takes over; those that are held back
   * are left out.
   */
  public Map<Integer, Long> remaining(long now, Iterable<Integer> listed) {
    Map<Integer, Long> left = new HashMap<>();
    for (int worker : listed) {
      long rest = leaseUntil(worker) - now;
      if (contact.isFollowed() && rest > REVIEW_INTERVAL) {
        left.put(worker, rest);
      }
    }
    return left;
  }

  /**
   * Takes over what was left of the leases of the process that this one replaces, in the place of
   * the list that this one started with, which may be older. Nothing once this process has heard
   * discovery itself.
   *
   * @param startedWith the contact that this process had by its configuration alone
   */
  public void takeOver(Map<Integer, Long> left, long now, long startedWith) {
    if (contact.lastResponseAt() > startedWith) {
      return;
    }
    contact.disown();
    left.forEach((worker, rest) -> recordAcceptedWork(worker, contact.provenAt(now, rest)));
  }
}
