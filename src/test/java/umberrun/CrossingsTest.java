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
import umberrun.Scenario.PollFault;
import umberrun.stats.Counters.Count;

/**
 * Race conditions: a call, a connection or a wait ends while a related event, such as an answer or
 * a close, has happened but has not been processed yet.
 */
public class CrossingsTest {
  /**
   * Settings that let a connection come up very late, so that a call can be made to wait for one.
   */
  private static final String LATE_CONNECTIONS =
      Scenario.SETTINGS.replace("\"ConnectTimeout\":250", "\"ConnectTimeout\":9000");

  /** Settings without deduplication: calls of that class must not run twice. */
  private static final String AT_MOST_ONCE =
      Scenario.SETTINGS.replace("deduplicated", "at_most_once");

  private static String repeat(int times, String lines) {
    return IntStream.rangeClosed(1, times)
        .mapToObj(i -> lines.replace("#", "" + i))
        .collect(Collectors.joining("\n"));
  }

  // ---------------------------------------------------------------- clients that leave

  /** A call that is revoked while it waits in the queue of the dispatch loop is not sent. */
  @Test
  public void aCallRevokedInTheQueueIsNotSent() throws Exception {
    try (Scenario scenario = Scenario.of("w1")) {
      scenario.playWhileLoopBlocked("c1 send 1 date-lookup\nc1 send revoke 1", () -> {});
      scenario.await(Count.CALLS_ABANDONED, 0);
      scenario.play(
          "c2 send 2 date-lookup\nw1 expect RUN 2d42\nw1 send 200 n=w\nc2 expect [1,2,null");
      assertEquals(1, scenario.server.counters().get(Count.ATTEMPTS_SENT));
    }
  }

  /**
   * The process was blocked while a call came and its client left: the call is not sent, although
   * the close lies unread behind it.
   */
  @Test
  public void aCallWhoseClientLeftWhileTheEventLoopWasBlockedIsNotSent() throws Exception {
    try (Scenario scenario = Scenario.of("w1")) {
      scenario.playWhileLoopBlocked(
          "c1 send 1 date-lookup\nc1 close",
          () -> {
            // Longer than the lag at which the process counts as on time.
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(80);
            while (System.nanoTime() < end) {
              Thread.onSpinWait();
            }
          });
      scenario.await(Count.CALLS_ABANDONED, 0);
      scenario.play(
          "c2 send 2 date-lookup\nw1 expect RUN 2d42\nw1 send 200 n=w\nc2 expect [1,2,null");
      assertEquals(1, scenario.server.counters().get(Count.ATTEMPTS_SENT));
    }
  }

  /**
   * A call whose client leaves while it waits for a connection is not written: the connection then
   * carries calls of other clients only.
   */
  @Test
  public void aCallWhoseClientLeftWhileConnectingIsNotWritten() throws Exception {
    try (Scenario scenario = Scenario.with(LATE_CONNECTIONS, "w1-held")) {
      scenario.play("c1 send 1 date-lookup\nc3 send 3 slot-change budget=9000");
      scenario.await(Count.ATTEMPTS_SENT, 1);
      scenario.play("c1 send revoke 1\nc3 close");
      scenario.await(Count.CALLS_ABANDONED, 1);
      scenario.play(
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

  /**
   * A call that is revoked while its second attempt waits for a connection is not written either.
   */
  @Test
  public void aCallRevokedBeforeItsRetryIsWrittenIsNotSentAgain() throws Exception {
    try (Scenario scenario = Scenario.with(LATE_CONNECTIONS, "w1")) {
      scenario.play("c1 send 1 slot-change budget=9000\nw1 expect RUN 2d41");
      scenario.addWorkerAndAwait("w2-held");
      scenario.play("w1 close");
      scenario.await(Count.ATTEMPTS_SENT, 1);
      scenario.play("c1 send revoke 1");
      scenario.await(Count.CALLS_ABANDONED, 0);
      scenario.play(
          "c2 send 2 slot-change budget=9000\n"
              + "w2-held send up\n"
              + "w2-held expect RUN 2d42\n"
              + "w2-held send 200 n=w\n"
              + "c2 expect [1,2,null\n"
              + "w2-held wait 1");
    }
  }

  /**
   * A connection that never comes up costs a call the connect timeout of the settings, and no more.
   */
  @Test
  public void aCallWhoseConnectionNeverComesUpGoesElsewhere() throws Exception {
    try (Scenario scenario = Scenario.of("w1-held")) {
      scenario.play("c1 send 1 slot-change budget=9000");
      scenario.await(Count.ATTEMPTS_SENT, 0);
      scenario.addWorkerAndAwait("x2");
      scenario.play("x2 expect RUN 2d41\nx2 send 200 n=w\nc1 expect [1,1,null");
    }
  }

  /**
   * A retry may join a keyed call of the invoke API, but nothing is sent for that call while no
   * client waits.
   */
  @Test
  public void aKeyedCallWhoseClientLeftIsSentAgainOnlyForARetry() throws Exception {
    String call =
        "POST /v1/functions/7f3a9c21e0b4d655/invocations Invoke-Class:slot-change"
            + " Invoke-Tenant:central-council Idempotency-Key:one =body\n";
    try (Scenario scenario = Scenario.with(LATE_CONNECTIONS, "w1-held")) {
      scenario.play("h1 send " + call);
      scenario.await(Count.ATTEMPTS_SENT, 0);
      scenario.play("h1 close");
      scenario.await(Count.CALLS_UNATTENDED, 0);
      scenario.play(
          "w1-held send up\n"
              + "c2 send 2 slot-change budget=9000\n"
              + "w1-held expect RUN 2d42\n"
              + "w1-held send 200 n=w\n"
              + "c2 expect [1,2,null");
      scenario.play(
          "h2 send "
              + call
              + "w1-held expect RUN op=one\nw1-held send 200 n=w told\nh2 expect 200 told");
    }
  }

  /** A deferred retry of a call that began as a synchronous one gets the location of the result. */
  @Test
  public void theResultOfADeferredRetryOfASynchronousCallCanBeFetched() throws Exception {
    String call =
        "POST /v1/functions/7f3a9c21e0b4d655/invocations Invoke-Class:slot-change"
            + " Invoke-Tenant:central-council Idempotency-Key:one";
    try (Scenario scenario = Scenario.of("w1")) {
      scenario.play(
          "h1 send "
              + call
              + " =body\nw1 expect RUN op=one\nh2 send "
              + call
              + " Prefer:respond-async =body\nh2 expect 202");
      scenario.play(
          "h3 send GET @ Prefer:wait=9\n"
              + "w1 send 200 n=w told\n"
              + "h3 expect 200 told\n"
              + "h1 expect 200 told");
    }
  }

  // ---------------------------------------------------------------- workers that leave

  /**
   * A call that waits for a connection to a worker that is gone by then goes elsewhere at once, as
   * the address may belong to another worker.
   */
  @Test
  public void aCallThatWaitsForAGoneWorkersConnectionGoesElsewhere() throws Exception {
    try (Scenario scenario = Scenario.with(LATE_CONNECTIONS, "w1-held")) {
      scenario.play("c1 send 1 slot-change budget=9000");
      scenario.await(Count.ATTEMPTS_SENT, 0);
      scenario.addWorkerAndAwait("x2");
      scenario.updateWorker("w1-held", "terminated");
      scenario.play(
          "x2 expect RUN 2d41\n"
              + "x2 send 200 n=w\n"
              + "c1 expect [1,1,null\n"
              + "w1-held send up\n"
              + "w1-held wait 1");
    }
  }

  /** A drain is reported while a call waits for the connection: the call is not written there. */
  @Test
  public void aDrainReportedWhileConnectingIsObserved() throws Exception {
    try (Scenario scenario = Scenario.with(LATE_CONNECTIONS, "w1-held")) {
      scenario.play("c1 send 1 slot-change budget=9000");
      scenario.await(Count.ATTEMPTS_SENT, 0);
      scenario.addWorkerAndAwait("x2");
      scenario.updateWorker("w1-held", "terminating");
      scenario.play(
          "w1-held send up\n"
              + "x2 expect RUN 2d41\n"
              + "x2 send 200 n=w\n"
              + "c1 expect [1,1,null\n"
              + "w1-held wait 1");
    }
  }

  /**
   * After a reset behind the write, an idempotent call goes to another worker, while a deduplicated
   * one stays within its hall.
   */
  @Test
  public void aCallResetAfterTheWriteIsRetriedAsItsClassAllows() throws Exception {
    try (Scenario scenario = Scenario.of("w1")) {
      scenario.play("c1 send 1 date-lookup budget=9000\nw1 expect RUN 2d41");
      scenario.addWorkerAndAwait("x2");
      scenario.play("w1 close\nx2 expect RUN 2d41\nx2 send 200 n=w\nc1 expect [1,1,null");
    }
    try (Scenario scenario = Scenario.of("w1")) {
      scenario.play("c1 send 1 slot-change budget=9000\nw1 expect RUN 2d41");
      scenario.addWorkerAndAwait("w2");
      scenario.play(
          "w1 close\n"
              + "w2 expect RUN 2d41 op=5c0f6e1a2b3d4c59a8b7c6d5e4f30211\n"
              + "w2 send 200 n=w\n"
              + "c1 expect [1,1,null");
    }
    try (Scenario scenario = Scenario.of("w1")) {
      scenario.play("c1 send 1 slot-change budget=1500\nw1 expect RUN 2d41");
      scenario.addWorkerAndAwait("x2");
      scenario.play("w1 close\nc1 expect [1,1,[\"Failed\"\nx2 wait 1");
    }
  }

  /**
   * A call of a class that must never run twice fails after a reset, but goes elsewhere where the
   * connection was refused.
   */
  @Test
  public void anAtMostOnceCallIsSentAtMostOnce() throws Exception {
    try (Scenario scenario = Scenario.with(AT_MOST_ONCE, "w1")) {
      scenario.play("c1 send 1 slot-change budget=9000\nw1 expect RUN 2d41");
      scenario.addWorkerAndAwait("w2");
      scenario.play("w1 send reset\nc1 expect [1,1,[\"Failed\"\nw2 wait 1");
    }
    try (Scenario scenario = Scenario.with(AT_MOST_ONCE, "w1-down", "w2")) {
      scenario.worker("w2").answersAll = true;
      scenario.play(repeat(6, "c1 send # slot-change\nc1 expect [1,#,null"));
    }
  }

  /**
   * The deduplication window ends while the retry waits for a connection: the retry is not written.
   */
  @Test
  public void aRetryThatOutlastsTheDedupWindowIsNotWritten() throws Exception {
    String shortWindow =
        LATE_CONNECTIONS.replace(
            "\"DedupWindow\":5000,\"GiveUp\":5000", "\"DedupWindow\":500,\"GiveUp\":5000");
    assertNotEquals(LATE_CONNECTIONS, shortWindow);
    try (Scenario scenario = Scenario.with(shortWindow, "w1")) {
      scenario.play("c1 send 1 slot-change budget=9000\nw1 expect RUN 2d41");
      scenario.addWorkerAndAwait("w2-held");
      scenario.play("w1 close");
      scenario.await(Count.ATTEMPTS_SENT, 1);
      // Longer than the deduplication window.
      Thread.sleep(600);
      scenario.play("w2-held send up\nc1 expect [1,1,[\"Failed\"\nw2-held wait 1");
    }
  }

  // ---------------------------------------------------------------- answers

  /**
   * The answer and the revoke lie unread side by side: whichever is read first, the call ends once,
   * and the next call is served.
   */
  @Test
  public void aRevokeThatCrossesTheAnswerEndsTheCallOnce() throws Exception {
    try (Scenario scenario = Scenario.of("w1")) {
      scenario.play("c1 send 1 date-lookup\nw1 expect RUN 2d41");
      scenario.playWhileLoopBlocked("w1 send 200 n=w told\nc1 send revoke 1", () -> {});
      scenario.play(
          "c2 send 2 date-lookup\nw1 expect RUN 2d42\nw1 send 200 n=w\nc2 expect [1,2,null");
      assertEquals(
          2,
          scenario.server.counters().get(Count.CALLS_SERVED)
              + scenario.server.counters().get(Count.CALLS_ABANDONED));
      scenario.play("c1 send 3 heartbeat\nc1 expect perhaps 1 [1,3,null,[true");
      scenario.play(
          "c1 send 1 date-lookup\n"
              + "w1 expect RUN 2d41\n"
              + "w1 send 200 n=w again\n"
              + "c1 expect [1,1,null again");
    }
  }

  /**
   * An answer counts once, whether it comes in pieces, beside one that nobody asked for, or again
   * after its call is over.
   */
  @Test
  public void anAnswerIsTakenOnceHoweverItComes() throws Exception {
    try (Scenario scenario = Scenario.of("w1")) {
      String answer = "*4\r\n$16\r\n9b1f03aa5c7e2d41\r\n$3\r\n200\r\n$3\r\nn=w\r\n$4\r\ntold\r\n";
      StringBuilder lines =
          new StringBuilder("c1 send 1 slot-change\nw1 expect RUN\nw1 send unknown 200\n");
      for (char piece : answer.toCharArray()) {
        lines.append("w1 send raw ").append(String.format("%02x", (int) piece)).append('\n');
      }
      scenario.play(
          lines
              + "c1 expect [1,1,null told\n"
              + "w1 send 200 n=w again\n"
              + "c1 send 2 heartbeat\n"
              + "c1 expect [1,2,null,[true");
      assertEquals(0, scenario.server.counters().get(Count.ATTEMPTS_RESET));
    }
  }

  // ---------------------------------------------------------------- client connections

  /**
   * Half a message never becomes complete: calls that came complete before it keep their answer.
   */
  @Test
  public void aTruncatedMessageCostsNoOpenCall() throws Exception {
    try (Scenario scenario = Scenario.of("w1")) {
      scenario.play(
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
   * A request arrives in the instant in which its connection is closed as idle, and lies unread
   * meanwhile.
   */
  @Test
  public void aRequestThatCrossesAnIdleCloseIsAnswered() throws Exception {
    try (Scenario scenario = Scenario.of("w1")) {
      scenario.worker("w1").answersAll = true;
      scenario.play("c1 send 9 heartbeat\nc1 expect [1,9,null");
      scenario.playWhileLoopBlockedAt(4_900, 200, "c1 send 1 date-lookup");
      // Any answer will do, as a process that runs this late may refuse the call.
      scenario.play("c1 expect [1,1,");
    }
  }

  /**
   * A request lies unread on the connection that has been idle longest when a new client needs its
   * place.
   */
  @Test
  public void aRequestThatCrossesADisplacementIsServed() throws Exception {
    try (Scenario scenario = new Scenario(128, false, "{}", "w1")) {
      scenario.worker("w1").answersAll = true;
      // The limit less the headroom and the shares of worker connections and of the invoke API.
      int clientPlaces = 128 - 40 - 88 / 3 - 128 / 8;
      scenario.play(repeat(clientPlaces, "c-old# send 1 heartbeat\nc-old# expect [1,1,null"));
      assertEquals(0, scenario.server.counters().get(Count.CLIENTS_DISPLACED));
      scenario.playWhileLoopBlocked(
          "c-new send 99 date-lookup\nc-old1 send 3 date-lookup", () -> {});
      scenario.play("c-old1 expect [1,3,null\nc-new expect [1,99,null\nc-old2 expect close");
    }
  }

  // ---------------------------------------------------------------- new workers at old addresses

  /**
   * Guards against a retry that goes to a worker of another hall, which does not know the call,
   * since it has come up at the address of the one that has gone.
   */
  @Test
  public void aRetryDoesNotGoToTheNewWorkerAtAnOldAddress() throws Exception {
    try (Scenario scenario = Scenario.of("w1")) {
      scenario.play("c1 send 1 slot-change\nw1 expect RUN 2d41");
      scenario.addWorkerAtAddressOf("w1", "x9");
      scenario.play("w1 send reset\nc1 expect [1,1,[\nw1 wait 200");
      // What the list says of the old worker later does not concern the new one.
      scenario.updateWorker("w1", "terminating");
      scenario.updateWorker("w1", "terminated");
      scenario.play(
          "c1 send 2 slot-change\nx9 expect RUN 2d42\nx9 send 200 n=w\nc1 expect [1,2,null");
    }
  }

  // ---------------------------------------------------------------- shutdown of the process

  /**
   * The process does not end before the last answer has been written, however slowly its client
   * reads it.
   */
  @Test
  public void theProcessWaitsUntilTheLastAnswerHasLeft() throws Exception {
    try (Scenario scenario = Scenario.of("w1")) {
      String body = "long".repeat(57_500);
      scenario.worker("w1").answerBody = body;
      scenario.worker("w1").answersAll = true;
      // The client reads none of the answers yet, which are more than the socket buffers hold.
      scenario.play(repeat(20, "c1 send # date-lookup"));
      scenario.await(Count.CALLS_SERVED, 19);
      Thread shutdown = new Thread(scenario.server::shutDown);
      shutdown.start();
      // Longer than new calls are accepted after the start of the shutdown.
      shutdown.join(1_000);
      assertTrue("ended with an answer half written", shutdown.isAlive());
      scenario.play(repeat(20, "c1 expect [1,"));
      shutdown.join(TimeUnit.SECONDS.toMillis(Scenario.TIMEOUT_SECONDS));
      assertFalse(shutdown.isAlive());
    }
  }

  /**
   * The process shuts down with a call that waits for a connection, one that lies unread, and half
   * of one: every call that it accepted is answered.
   */
  @Test
  public void aShutdownFinishesCallsInEachState() throws Exception {
    try (Scenario scenario = Scenario.with(LATE_CONNECTIONS, "w1-held")) {
      scenario.play("c1 send 1 slot-change budget=9000");
      scenario.await(Count.ATTEMPTS_SENT, 0);
      scenario.play("c4 send raw 94");
      Thread shutdown = new Thread(scenario.server::shutDown);
      shutdown.start();
      while (scenario.server.isHealthy()) {
        Thread.onSpinWait();
      }
      scenario.playWhileLoopBlocked("c2 send 2 slot-change budget=9000", () -> {});
      scenario.worker("w1-held").answersAll = true;
      scenario.play("w1-held send up\nc1 expect [1,1,null\nc2 expect [1,2,null");
      shutdown.join(TimeUnit.SECONDS.toMillis(Scenario.TIMEOUT_SECONDS));
      assertFalse(shutdown.isAlive());
    }
  }

  /**
   * A connection is accepted, and a request written to it, in the instant in which a process
   * without a successor is about to end. Where the process is faster, the connection is refused and
   * no call was accepted; a listener that stays open to the end refuses none.
   */
  @Test
  public void aConnectionThatIsAcceptedAtShutdownIsServed() throws Exception {
    try (Scenario scenario = Scenario.of("w1")) {
      Thread shutdown = new Thread(scenario.server::shutDown);
      shutdown.start();
      while (scenario.server.isHealthy()) {
        Thread.onSpinWait();
      }
      // Blocks the event loop from the moment on when the process's own timer is due, which also
      // runs for 700 ms. What that timer posts has run two turns of the loop later, and no answer
      // was due until then.
      try {
        scenario.playWhileLoopBlockedAt(700, 40, "c1 send 1 date-lookup budget=9000");
        scenario.play("w1 expect RUN 2d41");
        assertTrue("ended with a call in flight", shutdown.isAlive());
        scenario.play("w1 send 200 n=w told\nc1 expect [1,1,null told");
      } catch (AssertionError e) {
        if (!(e.getCause() != null && e.getCause().getCause() instanceof ConnectException)) {
          throw e;
        }
      }
      shutdown.join(TimeUnit.SECONDS.toMillis(Scenario.TIMEOUT_SECONDS));
      assertFalse(shutdown.isAlive());
    }
  }

  /**
   * Half of a request has arrived when the process is told to end: the process reads the rest and
   * answers, on both fronts.
   */
  @Test
  public void aShutdownWaitsForTheRestOfARequest() throws Exception {
    try (Scenario scenario = Scenario.of("w1")) {
      scenario.worker("w1").answersAll = true;
      scenario.play(
          "c1 send 9 heartbeat\n"
              + "c1 expect [1,9,null\n"
              + "c1 send half 1 date-lookup budget=9000\n"
              + "r1 send POST /v1/functions/7f3a9c21e0b4d655/invocations HTTP/1.1|"
              + "Host: x|Invoke-Class: date-lookup|Invoke-Tenant: central-council|"
              + "Content-Length: 8||half");
      Thread shutdown = new Thread(scenario.server::shutDown);
      shutdown.start();
      // Longer than new calls are accepted after the start of the shutdown.
      shutdown.join(1_000);
      assertTrue("ended with half of a request unread", shutdown.isAlive());
      scenario.play("c1 send rest\nc1 expect [1,1,null");
      shutdown.join(100);
      assertTrue("ended with half of a body unread", shutdown.isAlive());
      scenario.play("r1 send rest\nr1 expect halfrest");
      shutdown.join(TimeUnit.SECONDS.toMillis(Scenario.TIMEOUT_SECONDS));
      assertFalse(shutdown.isAlive());
    }
  }

  // ---------------------------------------------------------------- worker list

  /**
   * Events without a sequence number or without entries are skipped, whatever else they contain.
   */
  @Test
  public void anUnreadableEventDoesNotStopListUpdates() throws Exception {
    try (Scenario scenario = Scenario.of("w1")) {
      scenario.sendUnreadableEvents(
          "{\"fleet\":{\"snapshot\":false}}",
          "{\"seq\":3,\"fleet\":{\"snapshot\":false}}",
          "{\"seq\":4,\"fleet\":{\"snapshot\":{},\"endpoints\":[]}}",
          "7");
      scenario.addWorkerAndAwait("w2");
      assertEquals(4, scenario.server.counters().get(Count.WORKER_ENTRIES_UNREADABLE));
    }
  }

  /**
   * The change log moves, and the signal comes, while a front end starts and has already read the
   * old address.
   */
  @Test
  public void aMoveSignalledDuringStartupIsApplied() throws Exception {
    try (Scenario scenario = Scenario.of("w1")) {
      scenario.startWhileChangeLogMoves();
      scenario.addWorkerAndAwait("w2");
    }
  }

  /**
   * An entry that can't be read is skipped: otherwise no further update of the list would be
   * applied.
   */
  @Test
  public void anUnreadableEntryDoesNotStopListUpdates() throws Exception {
    try (Scenario scenario = Scenario.of("w1")) {
      scenario.sendSnapshot(true);
      scenario.worker("w1").answersAll = true;
      // The list lacked w1, but one of its entries was unreadable, so w1 stays.
      scenario.play("c1 send 1 date-lookup\nc1 expect [1,1,null");
      scenario.addWorkerAndAwait("w2");
      assertEquals(1, scenario.server.counters().get(Count.WORKER_ENTRIES_UNREADABLE));
    }
  }

  /** A known worker that a full list lacks is removed, whether or not the old poll hangs. */
  @Test
  public void aFullListWithoutAKnownWorkerRemovesIt() throws Exception {
    try (Scenario scenario = Scenario.of("w1", "w2")) {
      scenario.worker("w2").answersAll = true;
      scenario.failPolls(PollFault.SILENT);
      scenario.sendSnapshot(false, "w2");
      scenario.play(repeat(8, "c1 send # date-lookup\nc1 expect [1,#,null") + "\nw1 wait 1");
    }
  }

  /**
   * Two signals in a row, the second before the first address was polled or while it does not
   * respond.
   */
  @Test
  public void theChangeLogMovesTwiceInARow() throws Exception {
    try (Scenario scenario = Scenario.of("w1")) {
      scenario.moveChangeLog();
      scenario.moveChangeLog();
      scenario.addWorkerAndAwait("w2");
      scenario.failPolls(PollFault.SILENT, PollFault.STALLED);
      scenario.moveChangeLog();
      scenario.moveChangeLog();
      scenario.addWorkerAndAwait("w3");
    }
  }

  /**
   * The signal comes while the new file is half written: the file is applied once it is complete,
   * without another signal.
   */
  @Test
  public void aHalfWrittenConfigurationIsAppliedOnceItIsComplete() throws Exception {
    try (Scenario scenario = Scenario.of("w1")) {
      scenario.moveChangeLogBy(
          whole -> {
            scenario.reload(whole.substring(0, whole.length() / 2), Count.CONFIGS_REFUSED);
            scenario.write(whole);
            scenario.await(Count.CONFIGS_TAKEN, 0);
          });
      scenario.addWorkerAndAwait("w2");
    }
  }

  /**
   * Idle clients hold all connections they can get while discovery is down: once it is back,
   * workers are reached.
   */
  @Test
  public void idleClientsDoNotBlockDiscovery() throws Exception {
    try (Scenario scenario = new Scenario(128, false, "{}", "w1")) {
      scenario.failPolls(PollFault.ERROR, PollFault.SILENT, PollFault.ERROR);
      scenario.play(repeat(90, "c-idle# send 1 heartbeat\nc-idle# expect [1,1,null"));
      scenario.updateWorker("w1", "terminated");
      scenario.addWorkerAndAwait("w2");
      scenario.worker("w2").answersAll = true;
      scenario.play("c1 send 2 date-lookup\nc1 expect [1,2,null");
    }
  }
}
