package umberrun.transport;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.HashMap;
import java.util.Map;
import org.junit.Test;

/** The order in which connections read, on a clock of its own. */
public class ReadGroupTest {
  private static final long MILLI = 1_000_000;

  private final ReadGroup<String> group = new ReadGroup<>();
  private final Map<String, Long> used = new HashMap<>();

  /**
   * Serves the next connection. Those whose names begin with "usual" have their input read to its
   * end, the others wait again.
   */
  private String serve(long nanos) {
    ReadGroup.Member<String> next = group.poll();
    boolean drained = next.connection().startsWith("usual");
    next.onTurnEnded(drained);
    next.charge(nanos);
    used.merge(next.connection(), nanos, Long::sum);
    if (!drained) {
      group.add(next);
    }
    return next.connection();
  }

  /** Guards against many connections that always send, which delay one that waits for answers. */
  @Test
  public void anInteractiveConnectionIsServedBeforeAHundredBackloggedOnes() {
    for (int i = 0; i < 100; i++) {
      group.add(new ReadGroup.Member<>(group, "flood-" + i));
    }
    for (int i = 0; i < 1_000; i++) {
      serve(MILLI);
    }
    ReadGroup.Member<String> usual = new ReadGroup.Member<>(group, "usual");
    for (int i = 0; i < 50; i++) {
      group.add(usual);
      int served = 1;
      while (!serve(MILLI).equals("usual")) {
        served++;
      }
      assertTrue("served " + served, served <= 2);
    }
  }

  /** Guards against shares that go by the number of messages or bytes instead of by time. */
  @Test
  public void connectionsThatAlwaysSendGetEqualTime() {
    group.add(new ReadGroup.Member<>(group, "cheap"));
    group.add(new ReadGroup.Member<>(group, "dear"));
    for (int i = 0; i < 10_000; i++) {
      ReadGroup.Member<String> next = group.poll();
      long cost = next.connection().equals("cheap") ? MILLI : 7 * MILLI;
      next.onTurnEnded(false);
      next.charge(cost);
      used.merge(next.connection(), cost, Long::sum);
      group.add(next);
    }
    assertEquals(1.0, (double) used.get("cheap") / used.get("dear"), 0.1);
  }

  /** Guards against interactive connections that leave nothing to the others. */
  @Test
  public void backloggedConnectionsAreNotStarved() {
    group.add(new ReadGroup.Member<>(group, "flood"));
    for (int i = 0; i < 10; i++) {
      serve(MILLI);
    }
    for (int i = 0; i < 9_000; i++) {
      if (i % 3 == 0) {
        group.add(new ReadGroup.Member<>(group, "usual"));
      }
      serve(MILLI);
    }
    assertTrue(used.toString(), used.get("flood") > 9_000 * MILLI / 20);
  }
}
