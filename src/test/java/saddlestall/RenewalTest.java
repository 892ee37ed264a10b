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
 * What the module does where the list can't be relied on: permissions that end, and drains that
 * nobody tells.
 */
class RenewalTest {
  private static final long FUNCTION = 9;

  private static DispatcherFixture fixture(boolean orders) {
    return new DispatcherFixture(DispatcherFixture.settings(orders, DedupScope.ALL), 7).list(4);
  }

  /** Serves a call; the worker that did. */
  private static int serve(DispatcherFixture fixture, int call) {
    fixture.call(call, IDEMPOTENT_CLASS, FUNCTION);
    int worker = fixture.lastSend().worker();
    fixture.at(20).outcome(fixture.lastSend(), 0, OutcomeCode.OK, 20);
    return worker;
  }

  private static DispatcherFixture full(DispatcherFixture fixture, Send send, int crowd) {
    return fixture.event(
        new AttemptOutcome(
            send.call(),
            0,
            send.worker(),
            OutcomeCode.FULL,
            MILLISECOND,
            false,
            CopyStatus.NONE,
            crowd,
            null));
  }

  @Test
  void aPermissionThatEndsIsRenewedByAnOrderForWhatStandsThere() {
    DispatcherFixture fixture = fixture(true);
    int worker = serve(fixture, 1);
    fixture.event(new LeasesExpiring(List.of(worker), 1));
    assertEquals(List.of(new Preload(worker, FUNCTION, 1)), fixture.all(Preload.class));
  }

  /**
   * Two orders are free in five seconds, and none is given so soon that none is left for the next.
   */
  @Test
  void renewalsArePacedWithinTheRation() {
    DispatcherFixture fixture = fixture(true);
    serve(fixture, 1);
    for (int i = 0; i < 100; i++) {
      fixture.event(new LeasesExpiring(List.of(1, 2, 3, 4), 4));
      assertTrue(fixture.all(Preload.class).size() <= 1 + i / 40, "after " + i);
      fixture.at(50);
    }
    assertTrue(fixture.all(Preload.class).size() >= 2);
  }

  @Test
  void whereOrdersAreNotAllowedACallGoesToTheWorkerWhosePermissionEnds() {
    DispatcherFixture fixture = fixture(false);
    int usual = serve(fixture, 1);
    int other = usual % 4 + 1;
    fixture.event(new LeasesExpiring(List.of(other), 1));
    assertEquals(other, serve(fixture, 2));
    assertEquals(usual, serve(fixture, 3));
  }

  /** It turns away every call for two seconds and holds none: it drains, whatever the list says. */
  @Test
  void aWorkerThatTurnsAllAwayAndHoldsNoneIsPassedOver() {
    int tries = triesOfFullWorker(0);
    assertTrue(tries <= 6, tries + " tries");
  }

  /** One that is at work is tried again at the pace of a full one. */
  @Test
  void aFullWorkerThatIsAtWorkIsNotTakenForOneThatDrains() {
    int tries = triesOfFullWorker(3);
    assertTrue(tries >= 15, tries + " tries");
  }

  /**
   * How often one of four workers is tried within forty seconds, when it has turned all away for
   * twenty.
   */
  private static int triesOfFullWorker(int crowd) {
    DispatcherFixture fixture = fixture(false);
    int full = serve(fixture, 1);
    int tries = 0;
    for (int call = 2; call < 1_202; call++) {
      fixture.call(call, IDEMPOTENT_CLASS, FUNCTION);
      Send send = fixture.lastSend();
      if (send.worker() == full) {
        tries += call > 402 ? 1 : 0;
        full(fixture, send, crowd);
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
        fixture.at(20).outcome(send, 0, OutcomeCode.OK, 20);
      }
      fixture.pass(50);
    }
    return tries;
  }
}
