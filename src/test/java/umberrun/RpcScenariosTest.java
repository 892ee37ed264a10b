package umberrun;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.Test;
import umberrun.Scenario.PollFault;
import umberrun.stats.Counters.Count;

/** Calls over MessagePack-RPC, from the client's socket through to the worker's socket. */
public class RpcScenariosTest {

  @Test
  public void aCallIsServedWithTheWorkersBytes() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.play(
          """
          c1 send 1 heartbeat
          c1 expect [1,1,null,[true
          c1 send 2 date-lookup body=ask
          w1 expect RUN 9b1f03aa5c7e2d42 sort=date-lookup asset=7f3a9c21e0b4d655 patience= ask
          w1 send 200 n=w,depth=1 told
          c1 expect [1,2,null told
          """);
      assertEquals(1, s.server.counters().get(Count.CALLS_SERVED));
    }
  }

  @Test
  public void answersComeInAnyOrder() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.play(
          """
          c1 send 1 date-lookup
          w1 expect RUN 2d41
          c1 send 2 slot-change
          w1 expect RUN op=5c0f6e1a2b3d4c59a8b7c6d5e4f30211
          w1 send 200 n=w
          c1 expect [1,2,null
          """);
    }
  }

  @Test
  public void aCallThatNeverRanGoesToAnotherWorker() throws Exception {
    // A worker that refuses connections has not run the call.
    try (Scenario s = Scenario.of("w1-down", "w2")) {
      s.worker("w2").answersAll = true;
      for (int i = 1; i <= 6; i++) {
        s.play("c1 send " + i + " slot-change\nc1 expect [1," + i + ",null");
      }
    }
  }

  /**
   * A keyed call that may have run in one hall is not sent to another, since workers deduplicate
   * within a hall only. The client gets a failure.
   */
  @Test
  public void aKeyedCallThatMayHaveRunStaysInItsHall() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.play("c1 send 1 slot-change budget=800\nw1 expect RUN");
      // An idle worker in the other hall.
      s.addWorkerAndAwait("x1");
      s.worker("w1").close();
      s.play("c1 expect [1,1,[\"Failed\"\nx1 wait 1");
    }
  }

  @Test
  public void aCallWithoutAnAnswerFailsInTime() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.play(
          """
          c1 send 1 slot-change budget=600
          w1 expect RUN
          c1 expect [1,1,["Failed"
          w1 expect STOP 9b1f03aa5c7e2d41
          """);
    }
  }

  /**
   * The front end's own time margin takes only a small part of a short budget. Otherwise clients
   * that wait little longer than the work takes would lose calls.
   */
  @Test
  public void aShortBudgetReachesTheWorkerNearlyWhole() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.worker("w1").answersAll = true;
      int longest = 0;
      // The first calls show that the work is short; the machine may be slow for some of the
      // others.
      for (int i = 1; i <= 40; i++) {
        int budget = i <= 20 ? 1_500 : 100;
        s.play("c1 send " + i + " date-lookup budget=" + budget + "\nc1 expect [1," + i);
      }
      for (Scenario.Command run : s.worker("w1").commands) {
        int patience = Integer.parseInt(run.words().get(2).split("patience=")[1]);
        longest = Math.max(longest, patience <= 100 ? patience : 0);
      }
      assertTrue("patience " + longest, longest > 75 && longest <= 100);
    }
  }

  /** A late answer is not taken for the answer to the next attempt with the same id. */
  @Test
  public void aLateAnswerIsIgnored() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.play(
          """
          c1 send 1 slot-change budget=600
          w1 expect RUN
          w1 send unknown 200
          c1 expect [1,1,["Failed"
          w1 expect STOP
          w1 send 200 n=w late
          c1 send 1 slot-change budget=3000
          w1 expect RUN
          w1 send 200 n=w fresh
          c1 expect [1,1,null fresh
          """);
    }
  }

  @Test
  public void anInvalidAnswerEndsTheWorkerConnectionAsAReset() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.play(
          """
          c1 send 1 slot-change budget=600
          w1 expect RUN
          w1 send raw 2b776861743f0d0a
          c1 expect [1,1,["Failed"
          """);
      assertEquals(1, s.server.counters().get(Count.ATTEMPTS_RESET));
    }
  }

  /** A truncated answer makes its connection useless for all attempts on it. */
  @Test
  public void aTruncatedAnswerEndsItsConnection() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.play(
          """
          c1 send 1 slot-change budget=9000
          w1 expect RUN
          c1 send 2 slot-change budget=9000
          w1 expect RUN
          w1 send raw 2a340d0a2431360d0a39
          """);
      s.await(Count.ATTEMPTS_RESET, 1);
    }
  }

  /**
   * A worker connection that stays open but sends nothing is probed, then closed early enough to
   * retry on a new connection.
   */
  @Test
  public void aSilentConnectionIsProbedAndThenClosed() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.play(
          """
          c1 send 1 date-lookup budget=8000
          w1 expect RUN 2d41
          c1 send 2 date-lookup budget=8000
          w1 expect RUN 2d42
          c1 send 3 date-lookup budget=8000
          w1 expect RUN 2d43
          w1 expect NOOP here
          w1 expect RUN
          w1 send 200 n=w
          c1 expect null
          """);
      assertEquals(3, s.server.counters().get(Count.ATTEMPTS_RESET));
    }
  }

  /** A worker that is only slow answers the probe, and no call is sent to it twice. */
  @Test
  public void aSlowWorkerKeepsItsConnection() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.play(
          """
          c1 send 1 slot-change budget=8000
          w1 expect RUN 2d41
          c1 send 2 slot-change budget=8000
          w1 expect RUN 2d42
          c1 send 3 slot-change budget=8000
          w1 expect RUN 2d43
          w1 expect NOOP here
          w1 send alive
          w1 expect NOOP here
          w1 send alive
          w1 expect NOOP here
          """);
      assertEquals(0, s.server.counters().get(Count.ATTEMPTS_RESET));
    }
  }

  /** A duplicate of an answer does not end the next attempt of the same call. */
  @Test
  public void aDuplicateAnswerIsIgnored() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.play(
          """
          c1 send 1 date-lookup budget=9000
          w1 expect RUN
          w1 send 503
          w1 expect RUN
          w1 send previous 503
          c1 send 2 date-lookup budget=9000
          w1 expect RUN
          w1 send 200 n=w
          c1 expect [1,2,null
          """);
      assertEquals(1, s.server.counters().get(Count.ATTEMPTS_FULL));
    }
  }

  /** From one second after the list marks a worker as draining, it gets no new calls. */
  @Test
  public void aDrainingWorkerGetsNoNewCalls() throws Exception {
    try (Scenario s = Scenario.of("w1", "w2")) {
      s.worker("w2").answersAll = true;
      s.play("log send w1 terminating");
      s.await(Count.LIST_CHANGES, 2);
      for (int i = 1; i <= 8; i++) {
        s.play("c1 send " + i + " date-lookup\nc1 expect [1," + i + ",null");
      }
      s.play("w1 wait 1");
    }
  }

  @Test
  public void badInputIsAnsweredOrClosesOnlyItsConnection() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.worker("w1").answersAll = true;
      s.play(
          """
          c1 send 1 no-such-class
          c1 expect [1,1,["Invalid" class
          c1 send 2 date-lookup obj=xyz
          c1 expect [1,2,["Invalid" obj
          c1 send 3 date-lookup rid=none
          c1 expect [1,3,["Invalid" rid
          c1 send 4 slot-change token=none
          c1 expect [1,4,["Invalid" key
          c1 send 5 slot-change token=a,op=b
          c1 expect [1,5,["Invalid"
          c1 send 6 date-lookup size=16385
          c1 expect [1,6,["Invalid" 16384
          c1 send 7 date-lookup budget=soon
          c1 expect [1,7,["Invalid" budget
          c1 send 8 date-lookup info=lanes:-1
          c1 expect [1,8,["Invalid" lanes
          c1 send revoke 77
          c2 send raw c1
          c2 expect close
          c3 send raw 94000fdbffffffff
          c3 expect close
          c4 send 1 date-lookup size=16384
          c4 expect [1,1,null
          """);
    }
  }

  /** Connections without a complete message time out, at the start and later. */
  @Test
  public void connectionsWithoutACompleteMessageAreClosed() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.worker("w1").answersAll = true;
      s.play(
          """
          c4 send 1 date-lookup
          c4 expect [1,1,null
          c4 send raw 940002
          c1 send raw 94
          c2 send revoke 7
          c3 send raw 940001ab646174652d6c6f6f6b757092
          c1 expect close
          c2 expect close
          c3 expect close
          c4 expect close
          """);
    }
  }

  /**
   * At the connection limit, silent connections are displaced before any that has sent a request.
   */
  @Test
  public void silentConnectionsAreDisplacedByNewOnes() throws Exception {
    try (Scenario s = new Scenario(160, false, "{}", "w1")) {
      s.worker("w1").answersAll = true;
      s.play("c1 send 1 date-lookup\nc1 expect [1,1,null");
      s.play(each(100, "c-silent# open"));
      s.play(
          "c2 send 2 date-lookup\nc2 expect [1,2,null\nc1 send 3 date-lookup\nc1 expect [1,3,null");
      assertTrue(s.server.counters().get(Count.CLIENTS_DISPLACED) > 0);
    }
  }

  /**
   * Connections opened while the event loop was late do not displace each other: their requests
   * have arrived but were not read yet.
   */
  @Test
  public void newConnectionsDoNotDisplaceEachOther() throws Exception {
    try (Scenario s = new Scenario(128, false, "{}", "w1")) {
      s.worker("w1").answersAll = true;
      s.play(each(60, "c-old# send 1 heartbeat\nc-old# expect [1,1,null"));
      s.playWhileLoopBlocked(each(30, "c-new# send # date-lookup"), () -> {});
      s.play(each(30, "c-new# expect null"));
      assertTrue(s.server.counters().get(Count.CLIENTS_DISPLACED) >= 30);
    }
  }

  /**
   * Among connections that have sent a request, the one idle for longest is displaced, not the
   * oldest.
   */
  @Test
  public void aConnectionInUseIsNotDisplaced() throws Exception {
    try (Scenario s = new Scenario(148, false, "{}", "w1")) {
      s.worker("w1").answersAll = true;
      s.play("c1 send 1 date-lookup\nc1 expect [1,1,null");
      s.play(each(50, "c-once# send 1 heartbeat\nc-once# expect [1,1,null"));
      s.play("c1 send 2 date-lookup\nc1 expect [1,2,null");
      s.play(each(20, "c-new# send 1 heartbeat\nc-new# expect [1,1,null"));
      s.play("c1 send 3 date-lookup\nc1 expect [1,3,null\nc-once1 expect close");
    }
  }

  /**
   * Connections are accepted only by the event loop, which counts them. If another thread accepted
   * them while the loop is late, they would take descriptors needed for worker connections.
   */
  @Test
  public void nothingIsAcceptedWhileTheLoopIsLate() throws Exception {
    var system = (UnixOperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    try (Scenario s = new Scenario(128, false, "{}", "w1")) {
      long before = system.getOpenFileDescriptorCount();
      s.playWhileLoopBlocked(
          each(100, "c# open"),
          () -> {
            // An accepting thread would need only a few of these 200 ms.
            long deadline = System.nanoTime() + 200_000_000;
            do {
              assertTrue("both ends are held", system.getOpenFileDescriptorCount() < before + 150);
            } while (System.nanoTime() < deadline);
          });
      // With the connection of the warm-up, these are all.
      s.await(Count.CLIENT_CONNECTIONS, 100);
    }
  }

  /** Repeats the lines, with {@code #} replaced by 1, 2 and so on. */
  private static String each(int times, String lines) {
    return IntStream.rangeClosed(1, times)
        .mapToObj(i -> lines.replace("#", "" + i))
        .collect(Collectors.joining("\n"));
  }

  /**
   * A request id is rejected while a call with that id is at a worker, even a revoked one: workers
   * could not tell the two calls apart.
   */
  @Test
  public void theIdOfACallInFlightIsRejected() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.play(
          """
          c1 send 1 date-lookup body=one
          w1 expect RUN
          c2 send 1 date-lookup body=other
          c2 expect [1,1,["Invalid" rid
          c1 send revoke 1
          c2 send 1 date-lookup body=again
          c2 expect [1,1,["Invalid" rid
          w1 send 200 n=w told
          """);
      s.await(Count.ATTEMPTS_OK, 0);
      s.play("c2 send 1 date-lookup\nw1 expect RUN");
    }
  }

  @Test
  public void aRepeatedOpenIdClosesTheConnection() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.play(
          """
          c1 send 1 date-lookup
          w1 expect RUN
          c1 send 1 date-lookup
          c1 expect close
          """);
    }
  }

  @Test
  public void aConnectionHasAtMost32OpenRequests() throws Exception {
    try (Scenario s = Scenario.of("w1", "w2", "w3")) {
      for (int i = 1; i <= 32; i++) {
        s.play("c1 send " + i + " slot-change");
      }
      s.play("c1 send 33 slot-change\nc1 expect [1,33,[\"Shed\" backoff");
    }
  }

  @Test
  public void aRevokedCallGetsNoAnswer() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.play(
          """
          c1 send 1 date-lookup
          w1 expect RUN
          c1 send revoke 1
          c1 send 2 heartbeat
          c1 expect [1,2,null,[true
          w1 send 200 n=w
          c1 send 3 date-lookup
          w1 expect RUN
          w1 send 200 n=w
          c1 expect [1,3,null
          """);
    }
  }

  /** A failed poll is repeated, and the last known list is used meanwhile. */
  @Test
  public void failedPollsOfTheChangeLogAreRepeated() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.failPolls(PollFault.ERROR, PollFault.BROKEN, PollFault.BROKEN);
      s.play("c1 send 1 date-lookup\nw1 expect RUN\nw1 send 200 n=w\nc1 expect [1,1,null");
      // Returns once the front end knows the worker.
      s.addWorkerAndAwait("w2");
      assertTrue(s.server.counters().get(Count.POLLS_FAILED) >= 3);
    }
  }

  /**
   * A response of the change log that stalls, or never begins, times out and is requested again.
   */
  @Test
  public void aStalledChangeLogIsPolledAgain() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.failPolls(PollFault.STALLED);
      s.addWorkerAndAwait("w2");
      s.failPolls(PollFault.SILENT);
      s.addWorkerAndAwait("w3");
    }
  }

  /**
   * On SIGHUP the change log is polled at the address in the new file, from the last sequence
   * number on.
   */
  @Test
  public void aNewConfigurationMovesTheChangeLog() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      long polls = s.server.counters().get(Count.LIST_CHANGES);
      s.moveChangeLog();
      s.addWorkerAndAwait("w2");
      s.moveChangeLog();
      s.addWorkerAndAwait("w3");
      assertEquals(
          "each event is applied once", polls + 2, s.server.counters().get(Count.LIST_CHANGES));
    }
  }

  /** An invalid new configuration changes nothing, and the process continues with the old one. */
  @Test
  public void anInvalidNewConfigurationKeepsTheOld() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.reload("{\"changelog\":\"127.0.0.1:1", Count.CONFIGS_REFUSED);
      s.reload("{\"changelog\":\"nowhere\"}", Count.CONFIGS_REFUSED);
      s.addWorkerAndAwait("w2");
    }
  }

  /**
   * A long answer reaches a client that reads slowly, and does not delay other calls on the
   * worker's connection.
   */
  @Test
  public void aSlowReaderOfALongAnswerDelaysNobodyElse() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      String body = "long".repeat(57_500);
      s.worker("w1").answerBody = body;
      s.worker("w1").answersAll = true;
      // The client does not read any of the answers yet.
      s.play("c1 send 1 date-lookup\nc1 send 2 date-lookup\nc1 send 3 date-lookup");
      s.await(Count.CALLS_SERVED, 2);
      s.worker("w1").answerBody = null;
      s.play("c2 send 4 date-lookup\nc2 expect [1,4,null");
      s.play("c1 expect null " + body + "\nc1 expect null " + body + "\nc1 expect null " + body);
      assertEquals(0, s.server.counters().get(Count.ATTEMPTS_RESET));
    }
  }

  /**
   * Answers queued for slow clients are bounded in total; beyond the limit an answer is replaced by
   * a failure.
   */
  @Test
  public void queuedAnswersAreBounded() throws Exception {
    try (Scenario s = Scenario.of("w1", "w2", "w3")) {
      for (String w : List.of("w1", "w2", "w3")) {
        s.worker(w).answerBody = "x".repeat(230_000);
        s.worker(w).answersAll = true;
      }
      // All requests are read at once, before an answer makes the front end stop reading.
      s.playWhileLoopBlocked(each(32, "c1 send # date-lookup"), () -> {});
      s.await(Count.ANSWERS_DROPPED, 0);
      s.play("c99 send 1 heartbeat\nc99 expect [1,1,null");
    }
  }

  /** On a planned restart, heartbeats report it, and accepted calls are finished. */
  @Test
  public void aShutdownFinishesAcceptedCalls() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.play("c1 send 1 date-lookup\nw1 expect RUN");
      Thread shutdown = new Thread(s.server::shutDown);
      shutdown.start();
      while (s.server.isHealthy()) {
        Thread.onSpinWait();
      }
      s.play(
          """
          c2 send 1 heartbeat
          c2 expect [1,1,null,[false
          w1 send 200 n=w
          c1 expect [1,1,null
          """);
      shutdown.join();
    }
  }
}
