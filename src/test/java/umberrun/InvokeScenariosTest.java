package umberrun;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.Test;
import umberrun.stats.Counters.Count;

/** The invoke API with synchronous and deferred calls, errors and Consul, against test servers. */
public class InvokeScenariosTest {
  private static final String INVOKE =
      "send POST /v1/functions/7f3a9c21e0b4d655/invocations "
          + "Invoke-Tenant:central-council Invoke-Class:";
  private static final String LOOKUP = INVOKE + "date-lookup ";
  private static final String CHANGE = INVOKE + "slot-change ";
  private static final String ASYNC = "Prefer:respond-async ";

  @Test
  public void aSynchronousCallGetsTheWorkersBytes() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.play(
          "h1 "
              + LOOKUP
              + "Invoke-Figures:lanes:2;load_ms:100 =ask\n"
              + "w1 expect RUN asset=7f3a9c21e0b4d655 ask\nw1 send 200 n=w told\nh1 expect 200 told");
    }
  }

  @Test
  public void aDeferredCallIsCollectedLater() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.play(
          "h1 "
              + CHANGE
              + ASYNC
              + "Idempotency-Key:\"k-1\"\nh1 expect 202 /v1/invocations/\n"
              + "w1 expect RUN op=k-1\nh2 send GET @ \nh2 expect 202\nh3 send GET @ Prefer:wait=9\n"
              + "w1 send 200 n=w told\nh3 expect 200 told\nh4 send GET @\nh4 expect 200 told\n"
              + "h5 send DELETE @\nh5 expect 204\nh6 send GET @\nh6 expect 404 problem+json");
    }
  }

  @Test
  public void errorsAreProblems() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      String key = "Idempotency-Key:k ";
      s.play(
          "h1 send POST /v1/functions/xyz/invocations Invoke-Class:date-lookup Invoke-Tenant:central-council\n"
              + "h1 expect 400 problem+json\n"
              + "h2 send GET /v1/nowhere\nh2 expect 404 problem+json\n"
              + "h3 send GET /v1/invocations/none\nh3 expect 404\n"
              + "h4 send PUT /v1/health\nh4 expect 405 allow=[GET]\n"
              + "h5 "
              + LOOKUP
              + "size:16385\nh5 expect 413\n"
              + "h6 "
              + CHANGE
              + "=x\nh6 expect 400 key\n"
              + "h7 "
              + LOOKUP
              + "Prefer:wait=x\nh7 expect 400\n"
              + "h8 "
              + CHANGE
              + key
              + ASYNC
              + "=one\nh8 expect 202\nh9 "
              + CHANGE
              + key
              + "=two\nh9 expect 409\n"
              + "w1 expect RUN\nw1 close\nh8 send GET @ Prefer:wait=9\nh8 expect 50 may");
    }
  }

  @Test
  public void theClientsWaitLimitsTheBudget() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.play(
          "h1 "
              + CHANGE
              + "Prefer:wait=1 Idempotency-Key:k Invoke-Figures:load_ms:100\nw1 expect RUN patience=9\nh1 expect 504 problem+json");
    }
  }

  @Test
  public void aRefusalHasARetryAfterHeader() throws Exception {
    // There is no worker.
    try (Scenario s = Scenario.of()) {
      s.play("h1 " + LOOKUP + "Prefer:wait=1\nh1 expect 503 retry-after=");
    }
  }

  /**
   * A client that lost its connection repeats the call with the same key: the repeat is attached to
   * the running invocation, and nothing runs twice.
   */
  @Test
  public void aRepeatWithTheSameKeyJoinsTheInvocation() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.play(
          "h1 "
              + CHANGE
              + "Idempotency-Key:k =a\nw1 expect RUN op=k\nh1 close\n"
              + "h2 "
              + CHANGE
              + "Idempotency-Key:k =a\n");
      while (s.server.counters().get(Count.DEFERRED_JOINED) < 1) {
        Thread.onSpinWait();
      }
      s.play("w1 send 200 n=w once\nh2 expect 200 once\nw1 wait 1");
    }
  }

  /**
   * A deferred call with a key whose worker disconnects may have run. It is not sent to another
   * hall, and a repeat by the client does not start it again.
   */
  @Test
  public void aDisconnectedDeferredSlotChangeIsNeverSentElsewhere() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.play(
          "h1 "
              + CHANGE
              + ASYNC
              + "Idempotency-Key:k =a\nh1 expect 202\nw1 expect RUN op=k\nh1 close");
      // An idle worker in another hall.
      s.addWorkerAndAwait("x1");
      // The call may have run when the worker disconnects.
      s.worker("w1").close();
      s.play(
          "h2 send GET @ Prefer:wait=9\nh2 expect 50 may\n"
              + "h3 "
              + CHANGE
              + ASYNC
              + "Idempotency-Key:k =a\nh3 expect 202\nh4 send GET @\nh4 expect 50");
      s.play("x1 wait 1");
      assertEquals(1, s.server.counters().get(Count.CALLS_TAKEN));
    }
  }

  @Test
  public void deferredCallsWaitInABoundedQueueOfTheirOwn() throws Exception {
    try (Scenario s = new Scenario(false, "{\"queue\":1,\"in_hand\":1}", "w1")) {
      s.play(
          "h1 "
              + LOOKUP
              + ASYNC
              + "\nh1 expect 202\nw1 expect RUN\n"
              + "h2 "
              + LOOKUP
              + ASYNC
              + "\nh2 expect 202\nh3 "
              + LOOKUP
              + ASYNC
              + "\nh3 expect 429 retry-after=\n"
              + "h4 "
              + LOOKUP
              + "=sync\nw1 expect RUN sync\nw1 send 200 n=w\nh4 expect 200\n"
              + "h5 send DELETE @\nh5 expect 204");
    }
  }

  /** Guards against a heap that fills with the bodies of calls that were kept for their keys. */
  @Test
  public void bodiesOfCompletedCallsAreNotHeld() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.worker("w1").answersAll = true;
      for (int i = 1; i <= 8; i++) {
        s.play("h1 " + CHANGE + "Idempotency-Key:k" + i + " size:16384\nh1 expect 200");
      }
      assertEquals(8, s.server.counters().get(Count.INVOCATIONS_HELD));
      assertEquals(0, s.server.counters().get(Count.INVOCATION_BODY_BYTES));
      // What is kept still tells a repeat from another call.
      s.play(
          "h1 "
              + CHANGE
              + "Idempotency-Key:k1 size:16384\nh1 expect 200\nh1 "
              + CHANGE
              + "Idempotency-Key:k1 size:16383\nh1 expect 409");
      assertEquals(8, s.server.counters().get(Count.CALLS_TAKEN));
    }
  }

  /** Guards against queued calls whose bodies no limit counts. */
  @Test
  public void theBodiesOfQueuedCallsAreLimited() throws Exception {
    try (Scenario s = new Scenario(false, "{\"in_hand\":1,\"queue_bytes\":20000}", "w1")) {
      String large = LOOKUP + ASYNC + "size:16384\n";
      s.play(
          "h1 "
              + large
              + "h1 expect 202\nw1 expect RUN\nh2 "
              + large
              + "h2 expect 202\nh3 "
              + large
              + "h3 expect 429 retry-after=\n"
              + "w1 send 200 n=w\nw1 expect RUN\nh4 "
              + large
              + "h4 expect 202");
    }
  }

  /** Guards against memory that grows with answers that a client asks for and does not read. */
  @Test
  public void answersThatNobodyReadsAreLimited() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.worker("w1").answerBody = "x".repeat(900_000);
      s.worker("w1").answersAll = true;
      s.play(
          "h1 " + LOOKUP + ASYNC + "\nh1 expect 202\nh2 send GET @ Prefer:wait=9\nh2 expect 200");
      String get = "GET " + s.location() + " HTTP/1.1|Host: x||";
      s.play("r1 send " + get.repeat(12));
      s.await(Count.ANSWERS_DROPPED, 0);
      s.play("h3 send GET /v1/health\nh3 expect 200");
    }
  }

  /**
   * While Consul is unreachable, its last list expires just as the change log's does, since a
   * worker may have become critical meanwhile.
   */
  @Test
  public void theListExpiresWhileConsulIsUnreachable() throws Exception {
    try (Scenario s = new Scenario(true, "{}", "w1")) {
      s.await(Count.LIST_CHANGES, 0);
      s.consulFails = true;
      s.await(Count.WORKERS_HELD_BACK, 0);
      s.play(
          """
          c1 send 1 date-lookup budget=400
          c1 expect Shed backoff
          w1 wait 1
          """);
      s.consulFails = false;
      s.await(Count.WORKERS_RELEASED, 0);
      s.play(
          """
          c1 send 2 date-lookup
          w1 expect RUN
          w1 send 200 n=w done
          c1 expect [1,2,null done
          """);
    }
  }

  @Test
  public void consulListsTheWorkersAndRegistersTheFrontEnd() throws Exception {
    try (Scenario s = new Scenario(true, "{}", "w1", "w2")) {
      s.play("consul expect /v1/agent/service/register umberrun-n1 /v1/health");
      s.await(Count.LIST_CHANGES, 0);
      s.play("consul send w1 critical");
      s.await(Count.LIST_CHANGES, 1);
      for (int i = 1; i <= 4; i++) {
        s.play("h1 " + LOOKUP + "\nw2 expect RUN\nw2 send 200 n=w\nh1 expect 200");
      }
      s.play("consul send w2 gone\n");
      s.await(Count.LIST_CHANGES, 2);
      s.play("h1 " + LOOKUP + "Prefer:wait=1\nh1 expect 503\nw1 wait 1");
    }
  }

  /**
   * Synchronous and deferred calls at 300 calls a second for three seconds each get exactly one
   * answer, successful or not.
   */
  @Test
  public void everyCallOfAMixIsAnswered() throws Exception {
    try (Scenario s = Scenario.of("w1", "w2", "x1")) {
      for (String w : List.of("w1", "w2", "x1")) {
        s.worker(w).answersAll = true;
      }
      List<CompletableFuture<String>> answers = new ArrayList<>();
      long start = System.nanoTime();
      for (int i = 0; i < 900; i++) {
        answers.add(s.sendMixedCall(i));
        long wait = start + (i + 1) * TimeUnit.SECONDS.toNanos(1) / 300 - System.nanoTime();
        // Keeps the call rate; this does not wait for an event.
        TimeUnit.NANOSECONDS.sleep(Math.max(0, wait));
      }
      int served = 0;
      for (CompletableFuture<String> answer : answers) {
        String status = answer.get(Scenario.TIMEOUT_SECONDS, TimeUnit.SECONDS);
        served += status.equals("200") ? 1 : 0;
        assertTrue(status, List.of("200", "429", "502", "503", "504").contains(status));
      }
      assertTrue("served " + served, served > 0);
    }
  }

  /**
   * Silent clients are disconnected, an incomplete request is answered after the timeout, and a
   * body without an end is rejected at 16 KiB.
   */
  @Test
  public void slowSilentAndEndlessClientsAreDisconnected() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      String head =
          "POST /v1/functions/7f3a9c21e0b4d655/invocations HTTP/1.1|Host: x|Content-Length: 16000000||";
      s.play(
          "r1 open\nr2 send POST /v1/func\nr3 send "
              + head
              + "half\nr4 send "
              + head
              + "x".repeat(20_000)
              + "\nr4 expect 413\nr3 expect 408\nr1 expect close\nr2 expect close");
    }
  }

  /** At the connection limit, a new connection displaces one that never sent a request. */
  @Test
  public void silentConnectionsAreDisplacedByNewOnes() throws Exception {
    try (Scenario s = new Scenario(64, false, "{}", "w1")) {
      // The limit is 8.
      for (int i = 0; i < 12; i++) {
        s.play("r" + i + " open");
      }
      s.play("h1 send GET /v1/health\nh1 expect 200");
    }
  }

  /** Guards against calls that the end of the process leaves without an answer. */
  @Test
  public void aShutdownAnswersUnfinishedCalls() throws Exception {
    try (Scenario s = new Scenario(false, "{\"in_hand\":1}", "w1")) {
      s.play("h1 " + CHANGE + "Idempotency-Key:k =a\nw1 expect RUN op=k");
      s.play("h2 " + CHANGE + ASYNC + "Idempotency-Key:l\nh2 expect 202\nw1 expect RUN op=l");
      s.play("h3 " + CHANGE + ASYNC + "Idempotency-Key:m\nh3 expect 202");
      s.play("h4 send GET @ Prefer:wait=9");
      Thread leave = new Thread(s.server::shutDown);
      leave.start();
      // What waits in the queue never ran.
      s.play("h1 expect 502 may\nh4 expect 503 again");
      leave.join();
    }
  }

  /** SIGHUP moves the change log; waiting calls and stored results are kept. */
  @Test
  public void aNewConfigurationKeepsInvocations() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.play("h1 " + LOOKUP + "Prefer:respond-async\nh1 expect 202\nw1 expect RUN");
      s.moveChangeLog();
      s.play("w1 send 200 n=w told\nh2 send GET @ Prefer:wait=9\nh2 expect 200 told");
      s.addWorkerAndAwait("w2");
    }
  }
}
