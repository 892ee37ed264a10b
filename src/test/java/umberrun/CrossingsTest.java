package umberrun;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNotEquals;
import static org.junit.Assert.assertTrue;

import java.net.ConnectException;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.Test;
import umberrun.Scenario.Spoilt;
import umberrun.stats.Counters.Count;

/**
 * What ends a call, a connection or a wait, in the instant in which something else is on its way;
 * see docs/acceptance.md.
 */
public class CrossingsTest {
  /** Connections come up however late, so that a call can be made to wait for one. */
  private static final String PATIENT =
      Scenario.SETTINGS.replace("\"ConnectTimeout\":250", "\"ConnectTimeout\":9000");

  private static final String NEVER_TWICE =
      Scenario.SETTINGS.replace("deduplicated", "at_most_once");

  private static String each(int times, String lines) {
    return IntStream.rangeClosed(1, times)
        .mapToObj(i -> lines.replace("#", "" + i))
        .collect(Collectors.joining("\n"));
  }

  // ---------------------------------------------------------------- callers who go

  /** Its call waits in the owner's queue: it is not sent. */
  @Test
  public void aCallRevokedInTheQueueIsNotSent() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.playUnseen("c1 send 1 date-lookup\nc1 send revoke 1", () -> {});
      s.await(Count.CALLS_LEFT, 0);
      s.play("c2 send 2 date-lookup\nw1 expect RUN 2d42\nw1 send 200 n=w\nc2 expect [1,2,null");
      assertEquals(1, s.server.counters().get(Count.ATTEMPTS_SENT));
    }
  }

  /**
   * The machine stood still while the call came and its caller went: it is not sent, though the end
   * lies behind it unread.
   */
  @Test
  public void aCallWhoseCallerLeftWhileTheLoopStoodIsNotSent() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.playUnseen(
          "c1 send 1 date-lookup\nc1 close",
          () -> {
            long end =
                System.nanoTime()
                    + TimeUnit.MILLISECONDS.toNanos(80); // longer than what counts as on time
            while (System.nanoTime() < end) {
              Thread.onSpinWait();
            }
          });
      s.await(Count.CALLS_LEFT, 0);
      s.play("c2 send 2 date-lookup\nw1 expect RUN 2d42\nw1 send 200 n=w\nc2 expect [1,2,null");
      assertEquals(1, s.server.counters().get(Count.ATTEMPTS_SENT));
    }
  }

  /** Its call waits for a connection: what comes up then carries others' calls alone. */
  @Test
  public void aCallWhoseCallerLeftWhileDiallingIsNotWritten() throws Exception {
    try (Scenario s = Scenario.with(PATIENT, "w1-held")) {
      s.play("c1 send 1 date-lookup\nc3 send 3 slot-change budget=9000");
      s.await(Count.ATTEMPTS_SENT, 1);
      s.play("c1 send revoke 1\nc3 close");
      s.await(Count.CALLS_LEFT, 1);
      s.play(
          """
          c2 send 2 slot-change budget=9000
          w1-held send up
          w1-held expect RUN 2d42
          w1-held send 200 n=w
          c2 expect [1,2,null
          w1-held wait 1
          """);
    }
  }

  /** Its second attempt waits for a connection when the caller goes: that is not written either. */
  @Test
  public void aCallRevokedBeforeItsRetryIsWrittenIsNotSentAgain() throws Exception {
    try (Scenario s = Scenario.with(PATIENT, "w1")) {
      s.play("c1 send 1 slot-change budget=9000\nw1 expect RUN 2d41");
      s.join("w2-held");
      s.play("w1 close");
      s.await(Count.ATTEMPTS_SENT, 1);
      s.play("c1 send revoke 1");
      s.await(Count.CALLS_LEFT, 0);
      s.play(
          "c2 send 2 slot-change budget=9000\nw2-held send up\nw2-held expect RUN 2d42\nw2-held send 200 n=w\n"
              + "c2 expect [1,2,null\nw2-held wait 1");
    }
  }

  /**
   * A connection that never comes up costs a call the time that the settings allow for it, and no
   * more.
   */
  @Test
  public void aCallWhoseConnectionNeverComesUpGoesElsewhere() throws Exception {
    try (Scenario s = Scenario.of("w1-held")) {
      s.play("c1 send 1 slot-change budget=9000");
      s.await(Count.ATTEMPTS_SENT, 0);
      s.join("x2");
      s.play("x2 expect RUN 2d41\nx2 send 200 n=w\nc1 expect [1,1,null");
    }
  }

  /**
   * A keyed call of the invoke API may be joined by a repeat, but nothing is sent for it while
   * nobody waits.
   */
  @Test
  public void aKeyedCallWhoseCallerLeftIsSentAgainOnlyForARepeat() throws Exception {
    String call =
        "POST /v1/functions/7f3a9c21e0b4d655/invocations Invoke-Class:slot-change Invoke-Tenant:central-council "
            + "Idempotency-Key:one =body\n";
    try (Scenario s = Scenario.with(PATIENT, "w1-held")) {
      s.play("h1 send " + call);
      s.await(Count.ATTEMPTS_SENT, 0);
      s.play("h1 close");
      s.await(Count.CALLS_UNATTENDED, 0);
      s.play(
          "w1-held send up\nc2 send 2 slot-change budget=9000\nw1-held expect RUN 2d42\nw1-held send 200 n=w\nc2 expect [1,2,null");
      s.play(
          "h2 send "
              + call
              + "w1-held expect RUN op=one\nw1-held send 200 n=w told\nh2 expect 200 told");
    }
  }

  /**
   * A repeat in the deferred style of a call that began as a synchronous one is told where the
   * result will be.
   */
  @Test
  public void aDeferredRepeatOfASynchronousCallCanBeCollected() throws Exception {
    String call =
        "POST /v1/functions/7f3a9c21e0b4d655/invocations Invoke-Class:slot-change Invoke-Tenant:central-council "
            + "Idempotency-Key:one";
    try (Scenario s = Scenario.of("w1")) {
      s.play(
          "h1 send "
              + call
              + " =body\nw1 expect RUN op=one\nh2 send "
              + call
              + " Prefer:respond-async =body\nh2 expect 202");
      s.play(
          "h3 send GET @ Prefer:wait=9\nw1 send 200 n=w told\nh3 expect 200 told\nh1 expect 200 told");
    }
  }

  // ---------------------------------------------------------------- workers that go

  /**
   * What waits for a connection to a worker that is gone by then goes elsewhere at once: the
   * address may be another's.
   */
  @Test
  public void aCallThatWaitsForAGoneWorkersConnectionGoesElsewhere() throws Exception {
    try (Scenario s = Scenario.with(PATIENT, "w1-held")) {
      s.play("c1 send 1 slot-change budget=9000");
      s.await(Count.ATTEMPTS_SENT, 0);
      s.join("x2");
      s.tell("w1-held", "terminated");
      s.play(
          "x2 expect RUN 2d41\nx2 send 200 n=w\nc1 expect [1,1,null\nw1-held send up\nw1-held wait 1");
    }
  }

  /** A drain is told while a call waits for the connection: it is not written there. */
  @Test
  public void aDrainToldWhileDiallingIsKept() throws Exception {
    try (Scenario s = Scenario.with(PATIENT, "w1-held")) {
      s.play("c1 send 1 slot-change budget=9000");
      s.await(Count.ATTEMPTS_SENT, 0);
      s.join("x2");
      s.tell("w1-held", "terminating");
      s.play(
          "w1-held send up\nx2 expect RUN 2d41\nx2 send 200 n=w\nc1 expect [1,1,null\nw1-held wait 1");
    }
  }

  /**
   * A reset after the write: what is safe to repeat goes to another worker, what is keyed stays in
   * the hall.
   */
  @Test
  public void aResetAfterTheWriteIsRepeatedAsTheClassAllows() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.play("c1 send 1 date-lookup budget=9000\nw1 expect RUN 2d41");
      s.join("x2");
      s.play("w1 close\nx2 expect RUN 2d41\nx2 send 200 n=w\nc1 expect [1,1,null");
    }
    try (Scenario s = Scenario.of("w1")) {
      s.play("c1 send 1 slot-change budget=9000\nw1 expect RUN 2d41");
      s.join("w2");
      s.play(
          "w1 close\nw2 expect RUN 2d41 op=5c0f6e1a2b3d4c59a8b7c6d5e4f30211\nw2 send 200 n=w\nc1 expect [1,1,null");
    }
    try (Scenario s = Scenario.of("w1")) {
      s.play("c1 send 1 slot-change budget=1500\nw1 expect RUN 2d41");
      s.join("x2");
      s.play("w1 close\nc1 expect [1,1,[\"Failed\"\nx2 wait 1");
    }
  }

  /**
   * A class that must never run twice ends with a reset, but goes elsewhere where the connection
   * was refused.
   */
  @Test
  public void whatMustNeverRunTwiceIsSentOnceAtTheMost() throws Exception {
    try (Scenario s = Scenario.with(NEVER_TWICE, "w1")) {
      s.play("c1 send 1 slot-change budget=9000\nw1 expect RUN 2d41");
      s.join("w2");
      s.play("w1 send reset\nc1 expect [1,1,[\"Failed\"\nw2 wait 1");
    }
    try (Scenario s = Scenario.with(NEVER_TWICE, "w1-down", "w2")) {
      s.worker("w2").answersAll = true;
      s.play(each(6, "c1 send # slot-change\nc1 expect [1,#,null"));
    }
  }

  /** The window for a repeat closes while it waits for a connection: it is not written. */
  @Test
  public void aRepeatThatOutwaitsItsWindowIsNotWritten() throws Exception {
    String brief =
        PATIENT.replace(
            "\"DedupWindow\":5000,\"GiveUp\":5000", "\"DedupWindow\":500,\"GiveUp\":5000");
    assertNotEquals(PATIENT, brief);
    try (Scenario s = Scenario.with(brief, "w1")) {
      s.play("c1 send 1 slot-change budget=9000\nw1 expect RUN 2d41");
      s.join("w2-held");
      s.play("w1 close");
      s.await(Count.ATTEMPTS_SENT, 1);
      Thread.sleep(600); // the window itself
      s.play("w2-held send up\nc1 expect [1,1,[\"Failed\"\nw2-held wait 1");
    }
  }

  // ---------------------------------------------------------------- answers

  /**
   * The answer and the revoke lie unread side by side: whichever is read first, there is one end,
   * and the next call is served.
   */
  @Test
  public void aRevokeThatMeetsTheAnswerEndsTheCallOnce() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.play("c1 send 1 date-lookup\nw1 expect RUN 2d41");
      s.playUnseen("w1 send 200 n=w told\nc1 send revoke 1", () -> {});
      s.play("c2 send 2 date-lookup\nw1 expect RUN 2d42\nw1 send 200 n=w\nc2 expect [1,2,null");
      assertEquals(
          2,
          s.server.counters().get(Count.CALLS_SERVED) + s.server.counters().get(Count.CALLS_LEFT));
      s.play("c1 send 3 heartbeat\nc1 expect perhaps 1 [1,3,null,[true");
      s.play(
          "c1 send 1 date-lookup\nw1 expect RUN 2d41\nw1 send 200 n=w again\nc1 expect [1,1,null again");
    }
  }

  /** In pieces, beside one that nobody asked for, and again when its call is over. */
  @Test
  public void anAnswerIsTakenOnceHoweverItComes() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      String answer = "*4\r\n$16\r\n9b1f03aa5c7e2d41\r\n$3\r\n200\r\n$3\r\nn=w\r\n$4\r\ntold\r\n";
      StringBuilder lines =
          new StringBuilder("c1 send 1 slot-change\nw1 expect RUN\nw1 send unknown 200\n");
      for (char piece : answer.toCharArray()) {
        lines.append("w1 send raw ").append(String.format("%02x", (int) piece)).append('\n');
      }
      s.play(
          lines
              + "c1 expect [1,1,null told\nw1 send 200 n=w again\nc1 send 2 heartbeat\nc1 expect [1,2,null,[true");
      assertEquals(0, s.server.counters().get(Count.ATTEMPTS_RESET));
    }
  }

  // ---------------------------------------------------------------- clients' connections

  /** Half a message never comes to its end: what came whole before it keeps its answer. */
  @Test
  public void aMessageThatStopsMidwayCostsNoOpenCall() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.play(
          """
          c1 send 1 slot-change budget=9000
          w1 expect RUN
          c1 send raw 94
          c2 send 1 heartbeat
          c2 expect [1,1,null
          c2 send raw 94
          c2 expect close
          w1 send 200 n=w told
          c1 expect [1,1,null told
          c1 expect close
          """);
    }
  }

  /**
   * A request comes in the instant in which its connection is closed as idle, and lies unread
   * beside that.
   */
  @Test
  public void aRequestThatCrossesAnIdleCloseIsAnswered() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.worker("w1").answersAll = true;
      s.play("c1 send 9 heartbeat\nc1 expect [1,9,null");
      s.playAcross(4_900, 200, "c1 send 1 date-lookup");
      s.play("c1 expect [1,1,"); // it may well be that a machine as late as this refuses it
    }
  }

  /**
   * A request lies unread on the connection that is idle for longest when a newcomer needs its
   * place.
   */
  @Test
  public void aRequestThatCrossesADisplacementIsServed() throws Exception {
    try (Scenario s = new Scenario(128, false, "{}", "w1")) {
      s.worker("w1").answersAll = true;
      int most =
          128 - 40 - 88 / 3
              - 128 / 8; // places for clients: less the headroom, links' and the invoke API's
      s.play(each(most, "c-old# send 1 heartbeat\nc-old# expect [1,1,null"));
      assertEquals(0, s.server.counters().get(Count.CLIENTS_DISPLACED));
      s.playUnseen("c-new send 99 date-lookup\nc-old1 send 3 date-lookup", () -> {});
      s.play("c-old1 expect [1,3,null\nc-new expect [1,99,null\nc-old2 expect close");
    }
  }

  // ---------------------------------------------------------------- the end of the process

  /** It does not end before the last answer has left, however slowly its client takes it. */
  @Test
  public void theProcessWaitsUntilTheLastAnswerHasLeft() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      String body = "long".repeat(57_500);
      s.worker("w1").longAnswer = body;
      s.worker("w1").answersAll = true;
      s.play(
          each(
              20,
              "c1 send # date-lookup")); // and reads none of it yet: more than the system takes in
      // its place
      s.await(Count.CALLS_SERVED, 19);
      Thread leave = new Thread(s.server::leave);
      leave.start();
      leave.join(1_000); // more than calls are taken for
      assertTrue("ended with an answer half written", leave.isAlive());
      s.play(each(20, "c1 expect [1,"));
      leave.join(TimeUnit.SECONDS.toMillis(Scenario.PATIENCE_SECONDS));
      assertFalse(leave.isAlive());
    }
  }

  /**
   * Told to end with a call that waits for a connection, one that lies unread, and half of one:
   * what was taken is answered.
   */
  @Test
  public void anEndFinishesCallsInEachState() throws Exception {
    try (Scenario s = Scenario.with(PATIENT, "w1-held")) {
      s.play("c1 send 1 slot-change budget=9000");
      s.await(Count.ATTEMPTS_SENT, 0);
      s.play("c4 send raw 94");
      Thread leave = new Thread(s.server::leave);
      leave.start();
      while (s.server.isFit()) {
        Thread.onSpinWait(); // the event that is waited for
      }
      s.playUnseen("c2 send 2 slot-change budget=9000", () -> {});
      s.worker("w1-held").answersAll = true;
      s.play("w1-held send up\nc1 expect [1,1,null\nc2 expect [1,2,null");
      leave.join(TimeUnit.SECONDS.toMillis(Scenario.PATIENCE_SECONDS));
      assertFalse(leave.isAlive());
    }
  }

  /**
   * A connection is accepted, and a request written to it, in the instant in which a process
   * without a successor is about to end. Where the process is quicker the connection is refused,
   * and nothing was taken; a listener that stays open to the end refuses none.
   */
  @Test
  public void aConnectionThatIsAcceptedAtTheEndIsServed() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      Thread leave = new Thread(s.server::leave);
      leave.start();
      while (s.server.isFit()) {
        Thread.onSpinWait(); // the event that is waited for
      }
      // Behind the process's own timer, for as long: what it posts then has run two turns later,
      // and nothing was owed.
      try {
        s.playAcross(700, 40, "c1 send 1 date-lookup budget=9000");
        s.play("w1 expect RUN 2d41");
        assertTrue("ended with a call in hand", leave.isAlive());
        s.play("w1 send 200 n=w told\nc1 expect [1,1,null told");
      } catch (AssertionError e) {
        if (!(e.getCause() != null && e.getCause().getCause() instanceof ConnectException)) {
          throw e;
        }
      }
      leave.join(TimeUnit.SECONDS.toMillis(Scenario.PATIENCE_SECONDS));
      assertFalse(leave.isAlive());
    }
  }

  /**
   * Half of a request has come when the process is told to end: it takes the rest, and answers, at
   * both fronts.
   */
  @Test
  public void anEndWaitsForTheRestOfARequest() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.worker("w1").answersAll = true;
      s.play(
          "c1 send 9 heartbeat\nc1 expect [1,9,null\nc1 send half 1 date-lookup budget=9000\n"
              + "r1 send POST /v1/functions/7f3a9c21e0b4d655/invocations HTTP/1.1|Host: x|Invoke-Class: date-lookup|"
              + "Invoke-Tenant: central-council|Content-Length: 8||half");
      Thread leave = new Thread(s.server::leave);
      leave.start();
      leave.join(1_000); // more than calls are taken for
      assertTrue("ended with half of a request unread", leave.isAlive());
      s.play("c1 send rest\nc1 expect [1,1,null");
      leave.join(100);
      assertTrue("ended with half of a body unread", leave.isAlive());
      s.play("r1 send rest\nr1 expect halfrest");
      leave.join(TimeUnit.SECONDS.toMillis(Scenario.PATIENCE_SECONDS));
      assertFalse(leave.isAlive());
    }
  }

  // ---------------------------------------------------------------- the list

  /** Events without a number or without lines are passed over, whatever comes with them. */
  @Test
  public void anUnreadableEventDoesNotSilenceTheList() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.tellUnreadable(
          "{\"fleet\":{\"snapshot\":false}}",
          "{\"seq\":3,\"fleet\":{\"snapshot\":false}}",
          "{\"seq\":4,\"fleet\":{\"snapshot\":{},\"endpoints\":[]}}",
          "7");
      s.join("w2");
      assertEquals(4, s.server.counters().get(Count.LINES_UNREADABLE));
    }
  }

  /**
   * The change log moves, and the signal comes, while a front end starts and has read the old
   * address.
   */
  @Test
  public void aMoveThatIsToldDuringTheStartIsTaken() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.startAsTheRollMoves();
      s.join("w2");
    }
  }

  /** A line that can't be read is passed over: else the list would be quiet for good. */
  @Test
  public void anUnreadableLineDoesNotSilenceTheList() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.tellWhole(true);
      s.worker("w1").answersAll = true;
      s.play(
          "c1 send 1 date-lookup\nc1 expect [1,1,null"); // w1 was not in it, but it was not whole
      s.join("w2");
      assertEquals(1, s.server.counters().get(Count.LINES_UNREADABLE));
    }
  }

  /** A whole list that lacks a known worker: that one is gone, while the old poll hangs or not. */
  @Test
  public void aWholeListWithoutAKnownWorkerEndsIt() throws Exception {
    try (Scenario s = Scenario.of("w1", "w2")) {
      s.worker("w2").answersAll = true;
      s.spoilPolls(Spoilt.SILENT);
      s.tellWhole(false, "w2");
      s.play(each(8, "c1 send # date-lookup\nc1 expect [1,#,null") + "\nw1 wait 1");
    }
  }

  /**
   * Two signals in a row, the second before the first address was asked or while it says nothing.
   */
  @Test
  public void theChangeLogMovesTwiceInARow() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.moveRoll();
      s.moveRoll();
      s.join("w2");
      s.spoilPolls(Spoilt.SILENT, Spoilt.STALLED);
      s.moveRoll();
      s.moveRoll();
      s.join("w3");
    }
  }

  /**
   * The signal comes while the new file is half written: it is taken once it is whole, without
   * another signal.
   */
  @Test
  public void aConfigurationThatIsHalfWrittenIsTakenWhenItIsWhole() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.moveRollBy(
          whole -> {
            s.reload(whole.substring(0, whole.length() / 2), Count.CONFIGS_REFUSED);
            s.write(whole);
            s.await(Count.CONFIGS_TAKEN, 0);
          });
      s.join("w2");
    }
  }

  /**
   * Idle clients hold all the places they can get while discovery is down: it comes back, and
   * workers are reached.
   */
  @Test
  public void idleClientsDoNotKeepDiscoveryAway() throws Exception {
    try (Scenario s = new Scenario(128, false, "{}", "w1")) {
      s.spoilPolls(Spoilt.ERROR, Spoilt.SILENT, Spoilt.ERROR);
      s.play(each(90, "c-idle# send 1 heartbeat\nc-idle# expect [1,1,null"));
      s.tell("w1", "terminated");
      s.join("w2");
      s.worker("w2").answersAll = true;
      s.play("c1 send 2 date-lookup\nc1 expect [1,2,null");
    }
  }
}
