package umberrun.admission;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.Test;
import umberrun.admission.ConnectionLimits.Purpose;
import umberrun.admission.ConnectionLimits.TooFewDescriptors;

/** Limits of connections by purpose, for one process and for two that share them. */
public class ConnectionLimitsTest {

  /**
   * Random sequences of acquire and release never exceed the descriptors, less the reserve of 40.
   */
  @Test
  public void connectionsNeverExceedTheDescriptors() throws Exception {
    for (int seed = 0; seed < 300; seed++) {
      Random random = new Random(seed);
      int descriptors = 150 + random.nextInt(2_000);
      ConnectionLimits limits =
          new ConnectionLimits(
              descriptors, random.nextBoolean(), random.nextBoolean(), random.nextInt(3));
      List<Purpose> open = new ArrayList<>();
      for (int i = 0; i < 3_000; i++) {
        Purpose purpose = Purpose.values()[random.nextInt(Purpose.values().length)];
        int before = limits.inUse(purpose);
        if (random.nextInt(3) > 0) {
          if (limits.tryAcquire(purpose)) {
            open.add(purpose);
            assertEquals("seed " + seed, before + 1, limits.inUse(purpose));
            assertTrue("seed " + seed, limits.inUse(purpose) <= limits.limit(purpose));
          } else {
            assertTrue("seed " + seed, before >= limits.limit(purpose));
          }
        } else if (!open.isEmpty()) {
          limits.release(open.remove(random.nextInt(open.size())));
        }
        if (i % 500 == 0) {
          limits.shareAmong(1 + random.nextInt(2));
        }
        int held = 0;
        for (Purpose counted : Purpose.values()) {
          held += limits.inUse(counted);
        }
        assertEquals("seed " + seed, open.size(), held);
        assertTrue("seed " + seed, held + 40 <= descriptors);
      }
    }
  }

  /**
   * The platform's clients hold up to a third of the descriptors. The worker connections must
   * suffice for a fleet that has its old and new workers at the same time.
   */
  @Test
  public void clientsGetAThirdAndWorkersAQuarter() throws Exception {
    for (int descriptors = 256; descriptors <= 4_096; descriptors += 16) {
      ConnectionLimits limits = new ConnectionLimits(descriptors, false, false, 0);
      assertTrue("clients of " + descriptors, limits.limit(Purpose.CLIENTS) >= descriptors / 3);
      assertTrue("links of " + descriptors, limits.limit(Purpose.WORKERS) > descriptors / 4);
    }
  }

  /**
   * Two processes together stay within the limits of one, except for operators, where each process
   * needs the whole limit. Open connections beyond a reduced limit stay open.
   */
  @Test
  public void twoProcessesShareTheLimitsAndKeepOpenConnections() throws Exception {
    ConnectionLimits limits = new ConnectionLimits(384, true, true, 1);
    while (limits.tryAcquire(Purpose.CLIENTS)) {
      continue;
    }
    int alone = limits.inUse(Purpose.CLIENTS);
    limits.shareAmong(2);
    assertEquals("open connections stay", alone, limits.inUse(Purpose.CLIENTS));
    assertFalse(limits.tryAcquire(Purpose.CLIENTS));
    assertEquals(alone / 2, limits.limit(Purpose.CLIENTS));
    assertEquals(16, limits.limit(Purpose.OPERATORS));
    limits.shareAmong(1);
    assertEquals(alone, limits.limit(Purpose.CLIENTS));
  }

  @Test
  public void tooFewDescriptorsAreRejected() throws Exception {
    new ConnectionLimits(256, true, true, 1);
    assertTrue(
        assertThrows(TooFewDescriptors.class, () -> new ConnectionLimits(50, false, false, 0))
            .getMessage()
            .startsWith("limits.sockets of 50 is too few"));
  }

  /** A connection released twice would admit one more than the limit. */
  @Test
  public void aConnectionIsReleasedOnce() throws Exception {
    ConnectionLimits limits = new ConnectionLimits(256, false, false, 0);
    limits.tryAcquire(Purpose.WORKERS);
    limits.release(Purpose.WORKERS);
    assertThrows(IllegalStateException.class, () -> limits.release(Purpose.WORKERS));
    assertEquals(0, limits.inUse(Purpose.WORKERS));
  }
}
