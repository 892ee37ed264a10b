package umberrun.discovery;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.Test;

/**
 * Which workers may be sent new work while discovery is unreachable: seeded random runs on a
 * simulated clock, and single cases for each time limit. Guards against sending work to a worker
 * that has begun to drain unnoticed.
 */
public class WorkerLeasesTest {
  private static final long SECOND_MICROS = 1_000_000;
  private static final long GRACE_MICROS = SECOND_MICROS;
  private static final long STEP_MICROS = 50_000;
  private static final int SEEDS = 2_000;
  private static final int WORKERS = 6;
  private static final List<Integer> ALL_WORKERS = IntStream.range(0, WORKERS).boxed().toList();

  /**
   * One seeded run: discovery becomes unreachable, returns and moves, workers drain and return, and
   * calls go wherever a lease permits them.
   */
  private static final class Simulation {
    final Random random;
    final DiscoveryContact contact = new DiscoveryContact(GRACE_MICROS - 200_000);
    final WorkerLeases leases = new WorkerLeases(contact, 1);
    final Map<Integer, Long> drainedAt = new HashMap<>();
    final List<Long> moves = new ArrayList<>();

    /** Calls in flight: when each was sent, when it ends, and its worker. */
    final List<long[]> inFlight = new ArrayList<>();

    long now = 100 * SECOND_MICROS;
    long unreachableUntil;
    long pollAskedAt = -1;
    long pollEndsAt;
    long lastResponseAt;

    Simulation(long seed) {
      random = new Random(seed);
      contact.follow(now, now);
      lastResponseAt = now;
    }

    void step() {
      // Now and then the event loop stalls for several steps.
      now += STEP_MICROS * (random.nextInt(40) == 0 ? 1 + random.nextInt(30) : 1);
      if (random.nextInt(200) == 0) {
        unreachableUntil = now + random.nextInt(30) * SECOND_MICROS;
        pollAskedAt = -1;
      }
      if (random.nextInt(300) == 0) {
        contact.recordServerMove(now);
        moves.add(now);
        pollAskedAt = -1;
      }
      poll();
      if (random.nextInt(60) == 0) {
        drainedAt.putIfAbsent(random.nextInt(WORKERS), now);
      }
      completeCalls();
      leases.review(now, ALL_WORKERS);
      if (random.nextInt(4) > 0) {
        send(random.nextInt(WORKERS));
      }
    }

    private void poll() {
      if (now < unreachableUntil) {
        return;
      }
      if (pollAskedAt < 0) {
        pollAskedAt = now;
        pollEndsAt = now + random.nextInt(20) * STEP_MICROS;
      } else if (now >= pollEndsAt) {
        contact.recordResponse(pollAskedAt);
        lastResponseAt = pollAskedAt;
        long askedAt = pollAskedAt;
        // Drains up to the request are reported; some of those workers are back by now.
        drainedAt.entrySet().removeIf(drain -> drain.getValue() <= askedAt && random.nextBoolean());
        pollAskedAt = -1;
      }
    }

    private void completeCalls() {
      inFlight.removeIf(
          c -> {
            if (c[1] > now) {
              return false;
            }
            leases.recordAcceptedWork((int) c[2], c[0]);
            return true;
          });
    }

    private void send(int worker) {
      if (now >= leases.leaseUntil(worker)) {
        return;
      }
      Long drainStart = drainedAt.get(worker);
      if (drainStart == null) {
        inFlight.add(new long[] {now, now + random.nextInt(4_000) * 1_000L, worker});
      } else if (drainStart > lastResponseAt) {
        // Earlier drains are reported, so the list forbids to send there, not the lease.
        assertTrue(
            "sent " + (now - drainStart) + " us after a drain",
            now <= reportedAt(drainStart) + GRACE_MICROS);
      }
    }

    /**
     * When a drain counts as reported, discovery not having responded since: 7 s after it, or
     * sooner where discovery has moved.
     */
    private long reportedAt(long at) {
      return Math.min(
          at + 7 * SECOND_MICROS,
          moves.stream()
              .filter(move -> move > lastResponseAt && at < move + 4 * SECOND_MICROS)
              .mapToLong(move -> move + 4 * SECOND_MICROS)
              .min()
              .orElse(Long.MAX_VALUE));
    }
  }

  @Test
  public void noSeedSendsPastReportDelayAndGrace() {
    for (long seed = 0; seed < SEEDS; seed++) {
      Simulation simulation = new Simulation(seed);
      for (int i = 0; i < 1_200; i++) {
        try {
          simulation.step();
        } catch (AssertionError e) {
          throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
        }
      }
    }
  }

  private static WorkerLeases followFromZero(DiscoveryContact contact) {
    contact.follow(0, 0);
    return new WorkerLeases(contact, 1);
  }

  @Test
  public void acceptedWorkRenewsOneLeaseFromTheMomentItWasSent() {
    WorkerLeases leases = followFromZero(new DiscoveryContact(GRACE_MICROS));
    leases.recordAcceptedWork(1, 3 * SECOND_MICROS);
    leases.review(8 * SECOND_MICROS, ALL_WORKERS);
    assertTrue(leases.isHeldBack(0));
    assertEquals(11 * SECOND_MICROS, leases.leaseUntil(1));
    assertFalse(leases.isHeldBack(1));
    leases.review(11 * SECOND_MICROS, ALL_WORKERS);
    assertTrue(leases.isHeldBack(1));
  }

  @Test
  public void aResponseReleasesAllWorkersAtOnce() {
    DiscoveryContact contact = new DiscoveryContact(GRACE_MICROS);
    WorkerLeases leases = followFromZero(contact);
    assertEquals(ALL_WORKERS, leases.review(20 * SECOND_MICROS, ALL_WORKERS).heldBack());
    contact.recordResponse(20 * SECOND_MICROS);
    assertEquals(ALL_WORKERS, leases.review(20 * SECOND_MICROS, ALL_WORKERS).released());
  }

  @Test
  public void whileDiscoveryRespondsNoRenewalIsRequested() {
    DiscoveryContact contact = new DiscoveryContact(GRACE_MICROS);
    WorkerLeases leases = followFromZero(contact);
    for (long now = 0; now < 60 * SECOND_MICROS; now += SECOND_MICROS / 4) {
      contact.recordResponse(now - 2 * SECOND_MICROS);
      WorkerLeases.Review review = leases.review(now, ALL_WORKERS);
      assertTrue(review.isEmpty() && review.expiring().isEmpty());
    }
  }

  /**
   * A move of discovery to an unreachable address shortens the current leases. Work that a worker
   * accepts later counts in full once the move is 4 s old.
   */
  @Test
  public void aMoveShortensLeasesUntilDiscoveryResponds() {
    DiscoveryContact contact = new DiscoveryContact(GRACE_MICROS);
    WorkerLeases leases = followFromZero(contact);
    contact.recordResponse(9 * SECOND_MICROS);
    contact.recordServerMove(10 * SECOND_MICROS);
    assertEquals(15 * SECOND_MICROS, leases.leaseUntil(0));
    leases.recordAcceptedWork(0, 13 * SECOND_MICROS);
    assertEquals(15 * SECOND_MICROS, leases.leaseUntil(0));
    leases.recordAcceptedWork(0, 14 * SECOND_MICROS);
    assertEquals(22 * SECOND_MICROS, leases.leaseUntil(0));
    // A response from the old address.
    contact.recordResponse(9_900_000);
    assertEquals(15 * SECOND_MICROS, leases.leaseUntil(1));
    contact.recordResponse(10_100_000);
    assertEquals(18_100_000, leases.leaseUntil(1));
  }

  @Test
  public void aResponseThatIsCutOffShortensLeases() {
    DiscoveryContact contact = new DiscoveryContact(GRACE_MICROS);
    WorkerLeases leases = followFromZero(contact);
    contact.recordAbortedResponse(SECOND_MICROS);
    assertEquals(4 * SECOND_MICROS, leases.leaseUntil(0));
    leases.recordAcceptedWork(0, SECOND_MICROS);
    assertEquals(9 * SECOND_MICROS, leases.leaseUntil(0));
  }

  /**
   * Whatever responds at an address that has refused a connection was started since, so it counts
   * as newly started once discovery would have reported that.
   */
  @Test
  public void anAddressThatRefusedCountsAsRestarted() {
    DiscoveryContact contact = new DiscoveryContact(GRACE_MICROS);
    WorkerLeases leases = followFromZero(contact);
    leases.recordConnectionRefused(2, 4 * SECOND_MICROS);
    leases.review(10 * SECOND_MICROS, ALL_WORKERS);
    assertEquals(0, leases.startedAt(2));
    assertEquals(List.of(2), leases.review(11 * SECOND_MICROS, ALL_WORKERS).restarted());
    assertEquals(4 * SECOND_MICROS, leases.startedAt(2));
    contact.recordResponse(12 * SECOND_MICROS);
    assertEquals(List.of(2), leases.review(12 * SECOND_MICROS, ALL_WORKERS).restarted());
    assertEquals(0, leases.startedAt(2));
  }

  /**
   * A process that takes over goes on with the remaining leases; its own list may be as old as its
   * configuration.
   */
  @Test
  public void aSuccessorTakesOverTheLeasesOfItsPredecessor() {
    WorkerLeases predecessor = followFromZero(new DiscoveryContact(GRACE_MICROS));
    predecessor.recordAcceptedWork(1, 5 * SECOND_MICROS);
    predecessor.review(10 * SECOND_MICROS, ALL_WORKERS);
    DiscoveryContact contact = new DiscoveryContact(GRACE_MICROS);
    contact.follow(10 * SECOND_MICROS, 10 * SECOND_MICROS);
    WorkerLeases leases = new WorkerLeases(contact, 2);
    leases.takeOver(
        predecessor.remaining(10 * SECOND_MICROS, ALL_WORKERS),
        10 * SECOND_MICROS,
        10 * SECOND_MICROS);
    assertEquals(13 * SECOND_MICROS, leases.leaseUntil(1));
    assertTrue(leases.leaseUntil(0) < 10 * SECOND_MICROS);
    leases.recordAcceptedWork(1, 11 * SECOND_MICROS);
    assertEquals(19 * SECOND_MICROS, leases.leaseUntil(1));
    contact.recordResponse(12 * SECOND_MICROS);
    // Has no effect, as this process has had a response of discovery itself.
    leases.takeOver(Map.of(), 12 * SECOND_MICROS, 10 * SECOND_MICROS);
    assertEquals(20 * SECOND_MICROS, leases.leaseUntil(0));
  }
}
