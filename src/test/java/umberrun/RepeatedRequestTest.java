package umberrun;

import static org.junit.Assert.assertEquals;

import java.util.concurrent.TimeUnit;
import org.junit.Rule;
import org.junit.Test;
import org.junit.rules.TemporaryFolder;
import umberrun.stats.Counters.Count;

/** Requests that may not run twice and come again under the same id. */
public class RepeatedRequestTest {
  private static final String AT_MOST_ONCE =
      Scenario.SETTINGS.replace("deduplicated", "at_most_once");

  @Rule public final TemporaryFolder folder = new TemporaryFolder();

  /** Guards against an id that runs again once its first run has ended. */
  @Test
  public void aRequestThatHasRunDoesNotRunAgain() throws Exception {
    try (Scenario s = Scenario.with(AT_MOST_ONCE, "w1")) {
      s.play("c1 send 1 slot-change\nw1 expect RUN 2d41\nw1 send 200 n=w\nc1 expect [1,1,null");
      s.play("c2 send 1 slot-change\nc2 expect [1,1,[ Failed\nw1 wait 200");
      assertEquals(1, s.server.counters().get(Count.CALLS_REPEATED));
    }
  }

  /** Guards against an id that runs again after its client has left. */
  @Test
  public void aRequestWhoseClientHasLeftDoesNotRunAgain() throws Exception {
    try (Scenario s = Scenario.with(AT_MOST_ONCE, "w1")) {
      s.play("c1 send 1 slot-change\nw1 expect RUN 2d41\nc1 close");
      s.await(Count.CALLS_ABANDONED, 0);
      s.play("w1 send 200 n=w\nc2 send 1 slot-change\nc2 expect [1,1,[");
      assertEquals(1, s.server.counters().get(Count.ATTEMPTS_SENT));
    }
  }

  /** A request that no worker has run may come again. */
  @Test
  public void aRequestThatWasRefusedMayComeAgain() throws Exception {
    try (Scenario s = Scenario.with(AT_MOST_ONCE)) {
      s.play("c1 send 1 slot-change budget=600\nc1 expect [1,1,[");
      s.addWorkerAndAwait("w1");
      s.play("c2 send 1 slot-change\nw1 expect RUN 2d41\nw1 send 200 n=w\nc2 expect [1,1,null");
    }
  }

  /** Guards against an id that runs again at the process that has taken over. */
  @Test
  public void aRequestThatHasRunDoesNotRunAgainAtTheSuccessor() throws Exception {
    try (Scenario s =
        Scenario.withOperatorInterface(AT_MOST_ONCE, folder.getRoot().toPath(), "w1")) {
      s.play("c1 send 1 slot-change\nw1 expect RUN 2d41\nw1 send 200 n=w\nc1 expect [1,1,null");
      s.play("c1 close");
      Server predecessor = s.startSuccessor();
      predecessor
          .close()
          .toCompletionStage()
          .toCompletableFuture()
          .get(Scenario.TIMEOUT_SECONDS, TimeUnit.SECONDS);
      s.play("c2 send 1 slot-change\nc2 expect [1,1,[ Failed\nw1 wait 200");
      s.play("c2 send 2 slot-change\nw1 expect RUN 2d42\nw1 send 200 n=w\nc2 expect [1,2,null");
    }
  }
}
