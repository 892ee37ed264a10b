package umberrun;

import static org.junit.Assert.assertTrue;

import org.junit.Test;
import umberrun.stats.Counters.Count;

/** Calls of functions that no worker knows, at both fronts. */
public class FunctionFloodScenariosTest {
  private static final int CALLS = 1_500;

  /** More than the dispatcher remembers of functions that were never served. */
  private static final int MAX_REMEMBERED = 600;

  /** Answers calls with an error, as workers do for functions that they don't know. */
  private static void reject(Scenario.Command command) {
    try {
      Scenario.Worker.answer(command, "500", "-", "");
    } catch (java.io.IOException e) {
      // The front end has closed the connection.
    }
  }

  /** Guards against ids of a front's callers that are remembered for ever. */
  @Test
  public void unknownFunctionsAreForgottenAtBothFronts() throws Exception {
    try (Scenario s = Scenario.of("w1")) {
      s.worker("w1").handler = FunctionFloodScenariosTest::reject;
      for (int i = 0; i < CALLS; i++) {
        String function = String.format("%016x", 0xa000 + i);
        s.play("c1 send 1 date-lookup obj=" + function + "\nc1 expect [1,1,[");
        s.play(
            "h1 send POST /v1/functions/b"
                + function.substring(1)
                + "/invocations Invoke-Tenant:central-council Invoke-Class:date-lookup\nh1 expect 50");
      }
      long remembered = s.server.counters().get(Count.FUNCTIONS_REMEMBERED);
      assertTrue("remembered: " + remembered, remembered <= MAX_REMEMBERED);
    }
  }
}
