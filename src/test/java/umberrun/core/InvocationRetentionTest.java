package umberrun.core;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertTrue;

import io.vertx.core.buffer.Buffer;
import org.junit.Test;

/** The limits on what is kept of completed invocations. */
public class InvocationRetentionTest {
  private static final long WINDOW = 5_000_000;
  private static final int BODY_BYTES = 16 << 10;
  private static final int RESULT_BYTES = 230_000;
  private static final long MAX_BYTES = 1 << 20;

  private static Invocation served(int number, int resultBytes, long endedAt) {
    return served("0", number, resultBytes, endedAt);
  }

  private static Invocation served(String owner, int number, int resultBytes, long endedAt) {
    Request request =
        new Request(
            Buffer.buffer("r" + number),
            0,
            0,
            Buffer.buffer("f"),
            1,
            Buffer.buffer("k" + number),
            1_000_000,
            false,
            Request.ResourceHints.NONE,
            Buffer.buffer(new byte[BODY_BYTES]));
    Invocation invocation =
        new Invocation(
            "id" + number, Invocation.scopedKey(owner, "k" + number), request, true, 1_000, "");
    invocation.start(null);
    invocation.endedAt = endedAt;
    invocation.complete(new Result.Served(Buffer.buffer(new byte[resultBytes])));
    return invocation;
  }

  /** Guards against memory that grows with the bodies of calls that are over. */
  @Test
  public void aCompletedInvocationHoldsNoRequestBody() {
    Invocation invocation = served(1, 5, 0);
    assertEquals(0, invocation.requestBodyBytes());
    assertTrue(invocation.memoryBytes() < BODY_BYTES);
  }

  /** Guards against keys that are charged to nobody: a result of no bytes takes memory as well. */
  @Test
  public void invocationsWithoutAResultBodyAreCharged() {
    InvocationRetention retention = new InvocationRetention(1 << 20, MAX_BYTES, WINDOW);
    int kept = 0;
    while (retention.hasRoom() && kept < MAX_BYTES) {
      retention.add(served(kept++, 0, 0));
    }
    assertFalse(retention.hasRoom());
    assertTrue("kept " + kept, kept <= MAX_BYTES / 1_000);
  }

  /** Guards against long results that end together and exceed the limit that each was under. */
  @Test
  public void resultsThatEndTogetherStayWithinTheLimit() {
    InvocationRetention retention = new InvocationRetention(100, MAX_BYTES, WINDOW);
    Invocation first = served(0, RESULT_BYTES, 0);
    retention.add(first);
    for (int i = 1; i < 64; i++) {
      retention.add(served(i, RESULT_BYTES, 0));
      assertTrue(retention.bytes() <= MAX_BYTES);
    }
    assertTrue(first.result() instanceof Result.Dropped);
    assertEquals(64, retention.size());
    // A repeat would be sent to a worker, so its key stays for the window.
    assertNull(retention.evictable(WINDOW - 1));
    assertNotNull(retention.evictable(WINDOW));
    assertTrue(retention.remove(first));
    assertFalse(retention.remove(first));
  }

  /** Guards against one tenant's flood of keys that pushes out the results of the others. */
  @Test
  public void theLargestOwnerGivesWay() {
    InvocationRetention retention = new InvocationRetention(100, MAX_BYTES, WINDOW);
    Invocation usual = served("usual", 0, 1_000, 0);
    retention.add(usual);
    for (int i = 1; i < 1_000; i++) {
      retention.add(served("flood", i, i % 2 == 0 ? 0 : RESULT_BYTES, 0));
      while (!retention.hasRoom()) {
        assertTrue(retention.remove(retention.evictable(WINDOW)));
      }
    }
    assertTrue(retention.bytes() <= MAX_BYTES);
    assertTrue(usual.result() instanceof Result.Served);
    assertTrue(retention.remove(usual));
  }
}
