package saddlestall;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static saddlestall.DispatcherFixture.IDEMPOTENT_CLASS;
import static saddlestall.DispatcherFixture.MILLISECOND;

import java.util.List;
import org.junit.jupiter.api.Test;
import saddlestall.Dispatcher.*;

/**
 * Tests for an unreliable worker list: leases that expire, and draining workers that the list does
 * not report.
 */
class RenewalTest {
  private static final long FUNCTION = 9;

  private static DispatcherFixture fixture(boolean mayPreload) {
    return new DispatcherFixture(DispatcherFixture.settings(mayPreload, DedupScope.ALL), 7)
        .listWorkers(4);
  }

  /** Serves a call and returns the worker that did. */
  private static int serve(DispatcherFixture fixture, int call) {
    fixture.call(call, IDEMPOTENT_CLASS, FUNCTION);
    int worker = fixture.lastSend().worker();
    fixture.advance(20).outcome(fixture.lastSend(), 0, OutcomeCode.OK, 20);
    return worker;
  }

  private static DispatcherFixture reject(DispatcherFixture fixture, Send send, int concurrency) {
    return fixture.event(
        new AttemptOutcome(
            send.call(),
            0,
            send.worker(),
            OutcomeCode.FULL,
            MILLISECOND,
            false,
            CopyStatus.NONE,
            concurrency,
            null));
  }

  @Test
  void anExpiringLeaseIsRenewedByAPreloadOfALoadedFunction() {
    DispatcherFixture fixture = fixture(true);
    int worker = serve(fixture, 1);
    fixture.event(new LeasesExpiring(List.of(worker), 1));
    assertEquals(List.of(new Preload(worker, FUNCTION, 1)), fixture.all(Preload.class));
  }

  /**
   * Two preloads are free in five seconds, and they are paced so that some are left for the next
   * leases.
   */
  @Test
  void renewalsArePacedWithinThePreloadLimit() {
    DispatcherFixture fixture = fixture(true);
    serve(fixture, 1);
    for (int i = 0; i < 100; i++) {
      fixture.event(new LeasesExpiring(List.of(1, 2, 3, 4), 4));
      assertTrue(fixture.all(Preload.class).size() <= 1 + i / 40, "after " + i);
      fixture.advance(50);
    }
    assertTrue(fixture.all(Preload.class).size() >= 2);
  }

  @Test
  void withoutPreloadsACallGoesToTheWorkerWhoseLeaseExpires() {
    DispatcherFixture fixture = fixture(false);
    int usual = serve(fixture, 1);
    int other = usual % 4 + 1;
    fixture.event(new LeasesExpiring(List.of(other), 1));
    assertEquals(other, serve(fixture, 2));
    assertEquals(usual, serve(fixture, 3));
  }

  /**
   * A worker that rejects every call for two seconds and runs none is draining, whatever the list
   * says.
   */
  @Test
  void aWorkerThatRejectsAllAndRunsNoneIsSkipped() {
    int attempts = attemptsAtFullWorker(0);
    assertTrue(attempts <= 6, attempts + " attempts");
  }

  /** A full worker that runs calls is retried with the backoff for rejections. */
  @Test
  void aBusyFullWorkerIsNotTakenForDraining() {
    int attempts = attemptsAtFullWorker(3);
    assertTrue(attempts >= 15, attempts + " attempts");
  }

  /**
   * Counts the attempts at one of four workers within forty seconds, after it has rejected
   * everything for twenty.
   */
  private static int attemptsAtFullWorker(int concurrency) {
    DispatcherFixture fixture = fixture(false);
    int full = serve(fixture, 1);
    int attempts = 0;
    for (int call = 2; call < 1_202; call++) {
      fixture.call(call, IDEMPOTENT_CLASS, FUNCTION);
      Send send = fixture.lastSend();
      if (send.worker() == full) {
        attempts += call > 402 ? 1 : 0;
        reject(fixture, send, concurrency);
        send = fixture.lastSend();
        assertFalse(send.worker() == full);
        fixture.event(
            new AttemptOutcome(
                call,
                1,
                send.worker(),
                OutcomeCode.OK,
                20 * MILLISECOND,
                true,
                CopyStatus.WARM,
                0,
                null));
      } else {
        fixture.advance(20).outcome(send, 0, OutcomeCode.OK, 20);
      }
      fixture.advanceInTicks(50);
    }
    return attempts;
  }
}
