package umberrun.core;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.util.Map;
import java.util.Set;
import org.junit.Test;
import saddlestall.Dispatcher.WorkerState;
import umberrun.core.WorkerSuspensions.EffectiveState;

/** What operators and plans have said of workers, over what the list says. */
public class WorkerSuspensionsTest {
  private final WorkerSuspensions bans = new WorkerSuspensions(1_000_000);

  /** From the ban on, without a drain's grace, whatever the list says. */
  @Test
  public void aBanLiesOverTheList() {
    bans.suspend("s", 50);
    assertEquals(
        new EffectiveState(WorkerState.DRAINING, 50, 7), bans.over("s", WorkerState.READY, 0, 7));
    assertEquals(
        new EffectiveState(WorkerState.DRAINING, 50, 7),
        bans.over("s", WorkerState.DRAINING, 40, 7));
    assertEquals(
        new EffectiveState(WorkerState.GONE, 50, 7), bans.over("s", WorkerState.GONE, 60, 7));
    assertEquals(
        new EffectiveState(WorkerState.READY, WorkerSuspensions.NEVER, 0),
        bans.over("other", WorkerState.READY, 0, 0));
  }

  @Test
  public void aDrainOfTheListKeepsItsGrace() {
    assertEquals(
        new EffectiveState(WorkerState.DRAINING, 800_040, 0),
        bans.over("s", WorkerState.DRAINING, 40, 0));
  }

  /**
   * It was restarted meanwhile, of which the list need not tell; a later start that the list tells
   * of counts.
   */
  @Test
  public void whoComesBackIsNew() {
    bans.suspend("s", 50);
    bans.suspend("s", 60);
    assertEquals("the first time counts", 50, bans.over("s", WorkerState.READY, 0, 0).stopAt());
    bans.resume("s", 90);
    bans.resume("s", 95);
    assertEquals(
        new EffectiveState(WorkerState.READY, WorkerSuspensions.NEVER, 90),
        bans.over("s", WorkerState.READY, 0, 7));
    assertEquals(100, bans.over("s", WorkerState.READY, 0, 100).startedAt());
    assertEquals(WorkerState.DRAINING, bans.over("s", WorkerState.DRAINING, 40, 7).state());
  }

  /** Without a ban a call back changes nothing: no worker turns cold by it. */
  @Test
  public void aCallBackWithoutABanChangesNothing() {
    bans.resume("s", 90);
    assertEquals(0, bans.over("s", WorkerState.READY, 0, 0).startedAt());
  }

  @Test
  public void whatAnotherProcessWroteReplacesAllAndTellsWhatChanged() {
    bans.suspend("a", 1);
    bans.suspend("b", 2);
    assertEquals(Set.of("b", "c", "d"), bans.replace(Map.of("a", 1L, "c", 3L), Map.of("d", 4L)));
    assertTrue(bans.isOut("a") && bans.isOut("c"));
    assertFalse(bans.isOut("b"));
    assertEquals(4, bans.over("d", WorkerState.READY, 0, 0).startedAt());
    assertEquals(Set.of(), bans.replace(Map.of("a", 1L, "c", 3L), Map.of("d", 4L)));
  }
}
