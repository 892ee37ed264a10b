package umberrun;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.Test;
import umberrun.Scenario.Spoilt;
import umberrun.stats.Counters.Count;

/** The platform's front and the way to the workers, from socket to socket. */
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
    try (Scenario s = Scenario.of("w1-down", "w2")) { // what refuses connections has run nothing
      s.worker("w2").answersAll = true;
      for (int i = 1; i <= 6; i++) {
        s.play("c1 send " + i + " slot-change\nc1 expect [1," + i + ",null");
      }
    }
  }

  /**
   * Rule 2: what may have run in one hall is not sent again in another; the client is told it
   * failed.
   */
  @Test
  public void aKeyedCallThatMayHaveRunStaysInItsHall() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.play("c1 send 1 slot-change budget=800\nw1 expect RUN");
      s.join("x1"); // in the other hall, and free
      s.worker("w1").close();
      s.play("c1 expect [1,1,[\"Failed\"\nx1 wait 1");
    }
  }

  @Test
  public void aCallThatNobodyAnswersEndsInTime() throws Exception {
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
   * Clients that wait for little more than the work takes lose no great part of it to our own
   * margin.
   */
  @Test
  public void aShortBudgetReachesTheWorkerNearlyWhole() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.worker("w1").answersAll = true;
      int longest = 0;
      for (int i = 1;
          i <= 40;
          i++) { // the first ones show that the work is short; the machine may be slow for some
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

  /** A late answer is no answer to the next attempt under the same id. */
  @Test
  public void aLateAnswerIsPassedOver() throws Exception {
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
  public void aWorkersGarbageEndsItsConnectionAsAReset() throws Exception {
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

  /** An answer that stops midway makes its connection useless for all that is out on it. */
  @Test
  public void anAnswerThatStopsMidwayEndsItsConnection() throws Exception {
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
   * A connection that stays open and says nothing more is given up in time for another try on a new
   * one.
   */
  @Test
  public void aSilentConnectionIsAskedAndThenClosed() throws Exception {
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

  /** A worker that is only slow says so, and nothing is sent to it twice. */
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

  /** A second copy of an answer does not end the next attempt of the same call. */
  @Test
  public void aSecondCopyOfAnAnswerIsPassedOver() throws Exception {
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

  /** Rule 3: a second after it was told to drain, a worker sees nothing new. */
  @Test
  public void aDrainingWorkerSeesNothingNew() throws Exception {
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
  public void badInputIsAnsweredOrClosesItsConnectionAlone() throws Exception {
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

  /** Silence and half a message are not waited for, neither at the start nor later. */
  @Test
  public void whoeverSaysNothingWholeIsClosed() throws Exception {
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

  /** At the most connections many silent ones make room for newcomers before any that has asked. */
  @Test
  public void silentConnectionsMakeRoomForNewcomers() throws Exception {
    try (Scenario s = new Scenario(160, false, "{}", "w1")) {
      s.worker("w1").answersAll = true;
      s.play("c1 send 1 date-lookup\nc1 expect [1,1,null");
      s.play(each(100, "c-silent# open"));
      s.play(
          "c2 send 2 date-lookup\nc2 expect [1,2,null\nc1 send 3 date-lookup\nc1 expect [1,3,null");
      assertTrue(s.server.counters().get(Count.CLIENTS_DISPLACED) > 0);
    }
  }

  /** Who has connected while this machine was late has said something, only nobody has read it. */
  @Test
  public void newcomersDoNotDisplaceEachOther() throws Exception {
    try (Scenario s = new Scenario(128, false, "{}", "w1")) {
      s.worker("w1").answersAll = true;
      s.play(each(60, "c-old# send 1 heartbeat\nc-old# expect [1,1,null"));
      s.playUnseen(each(30, "c-new# send # date-lookup"), () -> {});
      s.play(each(30, "c-new# expect null"));
      assertTrue(s.server.counters().get(Count.CLIENTS_DISPLACED) >= 30);
    }
  }

  /**
   * Among those that have asked, the one that is idle for longest makes room, not the one that came
   * first.
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
   * Connections that can't be counted yet use no descriptors: they would be missing for the way to
   * the workers.
   */
  @Test
  public void nothingIsAcceptedWhileTheLoopIsLate() throws Exception {
    var system = (UnixOperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    try (Scenario s = new Scenario(128, false, "{}", "w1")) {
      long before = system.getOpenFileDescriptorCount();
      s.playUnseen(
          each(100, "c# open"),
          () -> {
            long most =
                System.nanoTime()
                    + 200_000_000; // an accepting thread would need a few of these milliseconds
            do {
              assertTrue("both ends are held", system.getOpenFileDescriptorCount() < before + 150);
            } while (System.nanoTime() < most);
          });
      s.await(Count.CLIENT_CONNECTIONS, 100); // with the one of the rehearsal, all of them
    }
  }

  /** These lines so many times over, {@code #} being 1, 2 and so on. */
  private static String each(int times, String lines) {
    return IntStream.rangeClosed(1, times)
        .mapToObj(i -> lines.replace("#", "" + i))
        .collect(Collectors.joining("\n"));
  }

  /**
   * Workers could not tell two calls under one id apart: not while the first is out with them,
   * though withdrawn.
   */
  @Test
  public void theIdOfAnOpenRequestIsNotTakenTwice() throws Exception {
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
  public void thirtyTwoAreOpenOnAConnectionAndNoMore() throws Exception {
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

  /** A lost poll is repeated, and meanwhile the list that was told is kept. */
  @Test
  public void lostPollsOfTheChangeLogAreRepeated() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.spoilPolls(Spoilt.ERROR, Spoilt.BROKEN, Spoilt.BROKEN);
      s.play("c1 send 1 date-lookup\nw1 expect RUN\nw1 send 200 n=w\nc1 expect [1,1,null");
      s.join("w2"); // returns once the front end was told
      assertTrue(s.server.counters().get(Count.POLLS_LOST) >= 3);
    }
  }

  /** An answer of the change log that stops midway and stays open is not waited for. */
  @Test
  public void aChangeLogThatStopsIsAskedAgain() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.spoilPolls(Spoilt.STALLED);
      s.join("w2");
      s.spoilPolls(Spoilt.SILENT);
      s.join("w3");
    }
  }

  /**
   * On SIGHUP the change log is asked where the new file says, from the number that was reached.
   */
  @Test
  public void aNewConfigurationMovesTheChangeLog() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      long polls = s.server.counters().get(Count.LIST_CHANGES);
      s.moveRoll();
      s.join("w2");
      s.moveRoll();
      s.join("w3");
      assertEquals(
          "each event is taken in once", polls + 2, s.server.counters().get(Count.LIST_CHANGES));
    }
  }

  /** A new file that can't be served changes nothing, and the process goes on. */
  @Test
  public void aBadNewConfigurationKeepsTheOld() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.reload("{\"changelog\":\"127.0.0.1:1", Count.CONFIGS_REFUSED);
      s.reload("{\"changelog\":\"nowhere\"}", Count.CONFIGS_REFUSED);
      s.join("w2");
    }
  }

  /**
   * A long answer reaches a client that takes it slowly, and stops nobody else on the worker's
   * connection.
   */
  @Test
  public void aLongAnswerWaitsForItsClientAlone() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      String body = "long".repeat(57_500);
      s.worker("w1").longAnswer = body;
      s.worker("w1").answersAll = true;
      s.play(
          "c1 send 1 date-lookup\nc1 send 2 date-lookup\nc1 send 3 date-lookup"); // and reads none
      // of it yet
      s.await(Count.CALLS_SERVED, 2);
      s.worker("w1").longAnswer = null;
      s.play("c2 send 4 date-lookup\nc2 expect [1,4,null");
      s.play("c1 expect null " + body + "\nc1 expect null " + body + "\nc1 expect null " + body);
      assertEquals(0, s.server.counters().get(Count.ATTEMPTS_RESET));
    }
  }

  /**
   * What clients do not take is bounded in all: beyond that an answer is left out and said to have
   * failed.
   */
  @Test
  public void answersThatNobodyTakesAreBounded() throws Exception {
    try (Scenario s = Scenario.of("w1", "w2", "w3")) {
      for (String w : List.of("w1", "w2", "w3")) {
        s.worker(w).longAnswer = "x".repeat(230_000);
        s.worker(w).answersAll = true;
      }
      s.playUnseen(
          each(32, "c1 send # date-lookup"),
          () -> {}); // read at once, before an answer stops the reading
      s.await(Count.ANSWERS_DROPPED, 0);
      s.play("c99 send 1 heartbeat\nc99 expect [1,1,null");
    }
  }

  /** A planned restart: the heartbeat says so, and what was taken is finished. */
  @Test
  public void aDrainFinishesWhatWasTaken() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.play("c1 send 1 date-lookup\nw1 expect RUN");
      Thread drain = new Thread(s.server::leave);
      drain.start();
      while (s.server.isFit()) {
        Thread.onSpinWait(); // the event that is waited for
      }
      s.play(
          """
          c2 send 1 heartbeat
          c2 expect [1,1,null,[false
          w1 send 200 n=w
          c1 expect [1,1,null
          """);
      drain.join();
    }
  }
}
