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
 * Whom new work may be sent to while discovery is out of reach: by seeds on a clock of their own,
 * and the cases that settle a term.
 */
public class WorkerLeasesTest {
  private static final long SECOND = 1_000_000;
  private static final long GRACE = SECOND;
  private static final long STEP = 50_000;
  private static final int SEEDS = 2_000;
  private static final int WORKERS = 6;
  private static final List<Integer> ALL = IntStream.range(0, WORKERS).boxed().toList();

  /**
   * One run: discovery comes and goes and moves, workers drain and come back, calls go where a
   * lease permits them.
   */
  private static final class World {
    final Random random;
    final DiscoveryContact contact = new DiscoveryContact(GRACE - 200_000);
    final WorkerLeases leases = new WorkerLeases(contact, 1);
    final Map<Integer, Long> drainsAt = new HashMap<>();
    final List<Long> moves = new ArrayList<>();

    /** Answers under way: when a call was sent, by when it is over. */
    final List<long[]> out = new ArrayList<>();

    long now = 100 * SECOND;
    long awayUntil;
    long pollAskedAt = -1;
    long pollOverAt;
    long heardAt;

    World(long seed) {
      random = new Random(seed);
      contact.follow(now, now);
      heardAt = now;
    }

    void step() {
      now +=
          STEP
              * (random.nextInt(40) == 0
                  ? 1 + random.nextInt(30)
                  : 1); // now and then the loop stands still
      if (random.nextInt(200) == 0) {
        awayUntil = now + random.nextInt(30) * SECOND;
        pollAskedAt = -1;
      }
      if (random.nextInt(300) == 0) {
        contact.recordServerMove(now);
        moves.add(now);
        pollAskedAt = -1;
      }
      poll();
      if (random.nextInt(60) == 0) {
        drainsAt.putIfAbsent(random.nextInt(WORKERS), now);
      }
      answers();
      leases.review(now, ALL);
      if (random.nextInt(4) > 0) {
        send(random.nextInt(WORKERS));
      }
    }

    private void poll() {
      if (now < awayUntil) {
        return;
      }
      if (pollAskedAt < 0) {
        pollAskedAt = now;
        pollOverAt = now + random.nextInt(20) * STEP;
      } else if (now >= pollOverAt) {
        contact.recordResponse(pollAskedAt);
        heardAt = pollAskedAt;
        long asked = pollAskedAt;
        drainsAt
            .entrySet()
            .removeIf(
                d ->
                    d.getValue() <= asked
                        && random.nextBoolean()); // told, and some are back by now
        pollAskedAt = -1;
      }
    }

    private void answers() {
      out.removeIf(
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
      Long drained = drainsAt.get(worker);
      if (drained == null) {
        out.add(new long[] {now, now + random.nextInt(4_000) * 1_000L, worker});
      } else if (drained > heardAt) { // what was told is the list's to forbid
        assertTrue("sent " + (now - drained) + " us after a drain", now <= told(drained) + GRACE);
      }
    }

    /** When the drain counts as told by the rules, discovery not having been heard since. */
    private long told(long at) {
      return Math.min(
          at + 7 * SECOND,
          moves.stream()
              .filter(m -> m > heardAt && at < m + 4 * SECOND)
              .mapToLong(m -> m + 4 * SECOND)
              .min()
              .orElse(Long.MAX_VALUE));
    }
  }

  @Test
  public void noSeedSendsPastToldTimeAndGrace() {
    for (long seed = 0; seed < SEEDS; seed++) {
      World world = new World(seed);
      for (int i = 0; i < 1_200; i++) {
        try {
          world.step();
        } catch (AssertionError e) {
          throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
        }
      }
    }
  }

  private static WorkerLeases lost(DiscoveryContact contact) {
    contact.follow(0, 0);
    return new WorkerLeases(contact, 1);
  }

  @Test
  public void workTakenOnRenewsOneLeaseFromTheMomentItWasSent() {
    WorkerLeases leases = lost(new DiscoveryContact(GRACE));
    leases.recordAcceptedWork(1, 3 * SECOND);
    leases.review(8 * SECOND, ALL);
    assertTrue(leases.isHeldBack(0));
    assertEquals(11 * SECOND, leases.leaseUntil(1));
    assertFalse(leases.isHeldBack(1));
    leases.review(11 * SECOND, ALL);
    assertTrue(leases.isHeldBack(1));
  }

  @Test
  public void contactReleasesAllAtOnce() {
    DiscoveryContact contact = new DiscoveryContact(GRACE);
    WorkerLeases leases = lost(contact);
    assertEquals(ALL, leases.review(20 * SECOND, ALL).heldBack());
    contact.recordResponse(20 * SECOND);
    assertEquals(ALL, leases.review(20 * SECOND, ALL).released());
  }

  @Test
  public void whileDiscoveryIsWellNothingIsAskedOfAnybody() {
    DiscoveryContact contact = new DiscoveryContact(GRACE);
    WorkerLeases leases = lost(contact);
    for (long now = 0; now < 60 * SECOND; now += SECOND / 4) {
      contact.recordResponse(now - 2 * SECOND);
      WorkerLeases.Review review = leases.review(now, ALL);
      assertTrue(review.isEmpty() && review.expiring().isEmpty());
    }
  }

  /**
   * A move to an address that is out of reach shortens what is left; work taken on behind it counts
   * in full once it is 4 s old.
   */
  @Test
  public void aMoveShortensLeasesUntilDiscoveryIsHeard() {
    DiscoveryContact contact = new DiscoveryContact(GRACE);
    WorkerLeases leases = lost(contact);
    contact.recordResponse(9 * SECOND);
    contact.recordServerMove(10 * SECOND);
    assertEquals(15 * SECOND, leases.leaseUntil(0));
    leases.recordAcceptedWork(0, 13 * SECOND);
    assertEquals(15 * SECOND, leases.leaseUntil(0));
    leases.recordAcceptedWork(0, 14 * SECOND);
    assertEquals(22 * SECOND, leases.leaseUntil(0));
    contact.recordResponse(9_900_000); // by the old address
    assertEquals(15 * SECOND, leases.leaseUntil(1));
    contact.recordResponse(10_100_000);
    assertEquals(18_100_000, leases.leaseUntil(1));
  }

  @Test
  public void anAnswerThatBreaksOffShortensThem() {
    DiscoveryContact contact = new DiscoveryContact(GRACE);
    WorkerLeases leases = lost(contact);
    contact.recordAbortedResponse(SECOND);
    assertEquals(4 * SECOND, leases.leaseUntil(0));
    leases.recordAcceptedWork(0, SECOND);
    assertEquals(9 * SECOND, leases.leaseUntil(0));
  }

  /**
   * What answers at an address that refused in the meantime has started since, and so is cold, once
   * that counts as told.
   */
  @Test
  public void anAddressThatRefusedIsANewStart() {
    DiscoveryContact contact = new DiscoveryContact(GRACE);
    WorkerLeases leases = lost(contact);
    leases.recordConnectionRefused(2, 4 * SECOND);
    leases.review(10 * SECOND, ALL);
    assertEquals(0, leases.startedAt(2));
    assertEquals(List.of(2), leases.review(11 * SECOND, ALL).restarted());
    assertEquals(4 * SECOND, leases.startedAt(2));
    contact.recordResponse(12 * SECOND);
    assertEquals(List.of(2), leases.review(12 * SECOND, ALL).restarted());
    assertEquals(0, leases.startedAt(2));
  }

  /**
   * A process that takes over goes on with what was left; its own list may be as old as its
   * configuration.
   */
  @Test
  public void aSuccessorGoesOnWithTheLeasesOfTheElder() {
    WorkerLeases elder = lost(new DiscoveryContact(GRACE));
    elder.recordAcceptedWork(1, 5 * SECOND);
    elder.review(10 * SECOND, ALL);
    DiscoveryContact contact = new DiscoveryContact(GRACE);
    contact.follow(10 * SECOND, 10 * SECOND);
    WorkerLeases leases = new WorkerLeases(contact, 2);
    leases.takeOver(elder.remaining(10 * SECOND, ALL), 10 * SECOND, 10 * SECOND);
    assertEquals(13 * SECOND, leases.leaseUntil(1));
    assertTrue(leases.leaseUntil(0) < 10 * SECOND);
    leases.recordAcceptedWork(1, 11 * SECOND);
    assertEquals(19 * SECOND, leases.leaseUntil(1));
    contact.recordResponse(12 * SECOND);
    leases.takeOver(Map.of(), 12 * SECOND, 10 * SECOND); // it has heard discovery itself
    assertEquals(20 * SECOND, leases.leaseUntil(0));
  }
}
