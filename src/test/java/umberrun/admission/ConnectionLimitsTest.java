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

/** Connections within the descriptors, and shares while two processes live. */
public class ConnectionLimitsTest {

  /**
   * Whatever opens and closes, alone or beside another process, nothing is held beyond the
   * descriptors.
   */
  @Test
  public void theAccountNeverExceedsItsLimit() throws Exception {
    for (int seed = 0; seed < 300; seed++) {
      Random r = new Random(seed);
      int descriptors = 150 + r.nextInt(2_000);
      ConnectionLimits a =
          new ConnectionLimits(descriptors, r.nextBoolean(), r.nextBoolean(), r.nextInt(3));
      List<Purpose> open = new ArrayList<>();
      for (int i = 0; i < 3_000; i++) {
        Purpose use = Purpose.values()[r.nextInt(Purpose.values().length)];
        int before = a.inUse(use);
        if (r.nextInt(3) > 0) {
          if (a.tryAcquire(use)) {
            open.add(use);
            assertEquals("seed " + seed, before + 1, a.inUse(use));
            assertTrue("seed " + seed, a.inUse(use) <= a.limit(use));
          } else {
            assertTrue("seed " + seed, before >= a.limit(use));
          }
        } else if (!open.isEmpty()) {
          a.release(open.remove(r.nextInt(open.size())));
        }
        if (i % 500 == 0) {
          a.shareAmong(1 + r.nextInt(2));
        }
        int held = 0;
        for (Purpose u : Purpose.values()) {
          held += a.inUse(u);
        }
        assertEquals("seed " + seed, open.size(), held);
        assertTrue("seed " + seed, held + 40 <= descriptors);
      }
    }
  }

  /**
   * On the platform clients hold a third of the limit; the rest is for a fleet that has its old and
   * new workers at once.
   */
  @Test
  public void clientsKeepTheirThirdAndLinksAQuarter() throws Exception {
    for (int descriptors = 256; descriptors <= 4_096; descriptors += 16) {
      ConnectionLimits a = new ConnectionLimits(descriptors, false, false, 0);
      assertTrue("clients of " + descriptors, a.limit(Purpose.CLIENTS) >= descriptors / 3);
      assertTrue("links of " + descriptors, a.limit(Purpose.LINKS) > descriptors / 4);
    }
  }

  /** Two processes together stay within one's descriptors, but for the door that each must have. */
  @Test
  public void twoProcessesShareAndKeepWhatTheyHold() throws Exception {
    ConnectionLimits a = new ConnectionLimits(384, true, true, 1);
    while (a.tryAcquire(Purpose.CLIENTS)) {
      continue;
    }
    int alone = a.inUse(Purpose.CLIENTS);
    a.shareAmong(2);
    assertEquals("what is there stays", alone, a.inUse(Purpose.CLIENTS));
    assertFalse(a.tryAcquire(Purpose.CLIENTS));
    assertEquals(alone / 2, a.limit(Purpose.CLIENTS));
    assertEquals(16, a.limit(Purpose.DOOR));
    a.shareAmong(1);
    assertEquals(alone, a.limit(Purpose.CLIENTS));
  }

  @Test
  public void tooFewDescriptorsAreSaidAtTheStart() throws Exception {
    new ConnectionLimits(256, true, true, 1);
    assertTrue(
        assertThrows(TooFewDescriptors.class, () -> new ConnectionLimits(50, false, false, 0))
            .getMessage()
            .startsWith("limits.sockets of 50 is too few"));
  }

  /** A place that is returned twice would let one more in than there is room for. */
  @Test
  public void aPlaceIsReturnedOnce() throws Exception {
    ConnectionLimits a = new ConnectionLimits(256, false, false, 0);
    a.tryAcquire(Purpose.LINKS);
    a.release(Purpose.LINKS);
    assertThrows(IllegalStateException.class, () -> a.release(Purpose.LINKS));
    assertEquals(0, a.inUse(Purpose.LINKS));
  }
}
