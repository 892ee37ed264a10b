package saddlestall;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static saddlestall.DispatcherFixture.MS;
import static saddlestall.DispatcherFixture.SAFE;

import java.util.List;
import org.junit.jupiter.api.Test;
import saddlestall.Dispatcher.*;

/**
 * What the module does where the list can't be relied on: permissions that end, and drains that
 * nobody tells.
 */
class RenewalTest {
  private static final long FUNCTION = 9;

  private static DispatcherFixture bench(boolean orders) {
    return new DispatcherFixture(DispatcherFixture.settings(orders, DedupScope.ALL), 7).list(4);
  }

  /** Serves a call; the worker that did. */
  private static int serve(DispatcherFixture b, int call) {
    b.call(call, SAFE, FUNCTION);
    int worker = b.lastSend().worker();
    b.at(20).outcome(b.lastSend(), 0, OutcomeCode.OK, 20);
    return worker;
  }

  private static DispatcherFixture full(DispatcherFixture b, Send send, int crowd) {
    return b.event(
        new AttemptOutcome(
            send.call(),
            0,
            send.worker(),
            OutcomeCode.FULL,
            MS,
            false,
            CopyStatus.NONE,
            crowd,
            null));
  }

  @Test
  void aPermissionThatEndsIsRenewedByAnOrderForWhatStandsThere() {
    DispatcherFixture b = bench(true);
    int worker = serve(b, 1);
    b.event(new LeasesExpiring(List.of(worker), 1));
    assertEquals(List.of(new Preload(worker, FUNCTION, 1)), b.all(Preload.class));
  }

  /**
   * Two orders are free in five seconds, and none is given so soon that none is left for the next.
   */
  @Test
  void renewalsArePacedWithinTheRation() {
    DispatcherFixture b = bench(true);
    serve(b, 1);
    for (int i = 0; i < 100; i++) {
      b.event(new LeasesExpiring(List.of(1, 2, 3, 4), 4));
      assertTrue(b.all(Preload.class).size() <= 1 + i / 40, "after " + i);
      b.at(50);
    }
    assertTrue(b.all(Preload.class).size() >= 2);
  }

  @Test
  void whereOrdersAreNotAllowedACallGoesToTheWorkerWhosePermissionEnds() {
    DispatcherFixture b = bench(false);
    int usual = serve(b, 1);
    int other = usual % 4 + 1;
    b.event(new LeasesExpiring(List.of(other), 1));
    assertEquals(other, serve(b, 2));
    assertEquals(usual, serve(b, 3));
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
    DispatcherFixture b = bench(false);
    int full = serve(b, 1);
    int tries = 0;
    for (int call = 2; call < 1_202; call++) {
      b.call(call, SAFE, FUNCTION);
      Send send = b.lastSend();
      if (send.worker() == full) {
        tries += call > 402 ? 1 : 0;
        full(b, send, crowd);
        send = b.lastSend();
        assertFalse(send.worker() == full);
        b.event(
            new AttemptOutcome(
                call, 1, send.worker(), OutcomeCode.OK, 20 * MS, true, CopyStatus.WARM, 0, null));
      } else {
        b.at(20).outcome(send, 0, OutcomeCode.OK, 20);
      }
      b.pass(50);
    }
    return tries;
  }
}
