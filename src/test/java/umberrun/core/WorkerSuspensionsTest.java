package umberrun.core;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.util.Map;
import java.util.Set;
import org.junit.Test;
import saddlestall.Dispatcher.WorkerState;
import umberrun.core.WorkerSuspensions.EffectiveState;

/** Suspensions by operators, applied on top of the worker list. */
public class WorkerSuspensionsTest {
  private final WorkerSuspensions suspensions = new WorkerSuspensions(1_000_000);

  /**
   * A suspension applies from its own start, without the grace of a drain, whatever the list says.
   */
  @Test
  public void aSuspensionOverridesTheList() {
    suspensions.suspend("s", 50);
    assertEquals(
        new EffectiveState(WorkerState.DRAINING, 50, 7),
        suspensions.effectiveState("s", WorkerState.READY, 0, 7));
    assertEquals(
        new EffectiveState(WorkerState.DRAINING, 50, 7),
        suspensions.effectiveState("s", WorkerState.DRAINING, 40, 7));
    assertEquals(
        new EffectiveState(WorkerState.GONE, 50, 7),
        suspensions.effectiveState("s", WorkerState.GONE, 60, 7));
    assertEquals(
        new EffectiveState(WorkerState.READY, WorkerSuspensions.NEVER, 0),
        suspensions.effectiveState("other", WorkerState.READY, 0, 0));
  }

  @Test
  public void aDrainByTheListKeepsItsGrace() {
    assertEquals(
        new EffectiveState(WorkerState.DRAINING, 800_040, 0),
        suspensions.effectiveState("s", WorkerState.DRAINING, 40, 0));
  }

  /**
   * The worker was restarted while suspended, which the list need not report. A later start that
   * the list reports counts.
   */
  @Test
  public void aResumedWorkerCountsAsNewlyStarted() {
    suspensions.suspend("s", 50);
    suspensions.suspend("s", 60);
    assertEquals(
        "the first time counts",
        50,
        suspensions.effectiveState("s", WorkerState.READY, 0, 0).stopAt());
    suspensions.resume("s", 90);
    suspensions.resume("s", 95);
    assertEquals(
        new EffectiveState(WorkerState.READY, WorkerSuspensions.NEVER, 90),
        suspensions.effectiveState("s", WorkerState.READY, 0, 7));
    assertEquals(100, suspensions.effectiveState("s", WorkerState.READY, 0, 100).startedAt());
    assertEquals(
        WorkerState.DRAINING, suspensions.effectiveState("s", WorkerState.DRAINING, 40, 7).state());
  }

  /** A resume without a suspension must not make the worker count as newly started. */
  @Test
  public void aResumeWithoutASuspensionChangesNothing() {
    suspensions.resume("s", 90);
    assertEquals(0, suspensions.effectiveState("s", WorkerState.READY, 0, 0).startedAt());
  }

  @Test
  public void recordsOfAnotherProcessReplaceAllAndReportChanges() {
    suspensions.suspend("a", 1);
    suspensions.suspend("b", 2);
    assertEquals(
        Set.of("b", "c", "d"), suspensions.replace(Map.of("a", 1L, "c", 3L), Map.of("d", 4L)));
    assertTrue(suspensions.isSuspended("a") && suspensions.isSuspended("c"));
    assertFalse(suspensions.isSuspended("b"));
    assertEquals(4, suspensions.effectiveState("d", WorkerState.READY, 0, 0).startedAt());
    assertEquals(Set.of(), suspensions.replace(Map.of("a", 1L, "c", 3L), Map.of("d", 4L)));
  }
}
