package umberrun.core;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import org.junit.Before;
import org.junit.Test;
import umberrun.core.Lifecycle.State;

/** What a process owes its clients in each state, by the times of its drains and its end. */
public class LifecycleTest {
  private static final long SECOND = 1_000_000;
  private final Lifecycle duty = new Lifecycle(5 * SECOND);

  @Before
  public void serves() {
    duty.serve(0);
  }

  @Test
  public void aDrainSaysNoAtOnceAndLetsGoInPhases() {
    assertTrue(duty.drain(10 * SECOND));
    assertFalse(duty.isReady() || duty.isHealthy());
    assertFalse("new connections still come", duty.closesIdleConnections(10 * SECOND + 300_000));
    assertTrue(duty.closesIdleConnections(10 * SECOND + 400_000));
    assertTrue(duty.acceptsCalls(11 * SECOND));
    assertFalse("held with a call of the last 2 s", duty.acceptsCalls(12 * SECOND));
    assertFalse(duty.closesBusyConnection(13 * SECOND, 12 * SECOND));
    assertTrue(duty.closesBusyConnection(13 * SECOND + 300_000, 12 * SECOND));
    assertFalse("its last call is older", duty.closesBusyConnection(14 * SECOND, 11 * SECOND));
  }

  @Test
  public void aSecondDrainDoesNotStartAnew() {
    duty.drain(10 * SECOND);
    assertTrue(duty.drain(11 * SECOND));
    assertFalse(duty.acceptsCalls(12 * SECOND));
  }

  @Test
  public void aDrainIsTakenBackInItsMiddle() {
    duty.drain(10 * SECOND);
    assertTrue(duty.activate(12 * SECOND));
    assertTrue(duty.isReady() && duty.isHealthy() && duty.acceptsCalls(20 * SECOND));
    assertFalse(
        duty.closesIdleConnections(20 * SECOND)
            || duty.closesBusyConnection(20 * SECOND, 20 * SECOND));
    assertTrue("it may be said again", duty.activate(21 * SECOND));
  }

  /**
   * Whoever ends can't be drained nor called back, and whoever has not begun is not served by a
   * call for it.
   */
  @Test
  public void aProcessThatEndsStaysSo() {
    duty.drain(10 * SECOND);
    duty.shutDown(11 * SECOND, false);
    duty.shutDown(12 * SECOND, true);
    assertEquals(State.LEAVING, duty.state());
    assertFalse(duty.drain(12 * SECOND) || duty.activate(12 * SECOND) || duty.isHealthy());
    Lifecycle early = new Lifecycle(SECOND);
    assertFalse(early.activate(0) || early.drain(0));
    early.shutDown(0, false);
    early.serve(1);
    assertEquals(State.LEAVING, early.state());
  }

  /**
   * While it hands over the front end as a whole is fit, and a no would keep clients from the
   * successor as well.
   */
  @Test
  public void aHandoverKeepsTheFrontEndFit() {
    duty.shutDown(10 * SECOND, true);
    assertTrue(
        duty.isHealthy()
            && duty.closesIdleConnections(10 * SECOND)
            && duty.acceptsCalls(10 * SECOND + 600_000));
    assertFalse(duty.isReady() || duty.acceptsCalls(10 * SECOND + 700_000));
  }

  /**
   * Without a successor connections stay: their clients go on for a while and then go elsewhere.
   */
  @Test
  public void aPlannedRestartKeepsItsConnections() {
    duty.shutDown(10 * SECOND, false);
    assertFalse(
        duty.isHealthy()
            || duty.closesIdleConnections(11 * SECOND)
            || duty.closesBusyConnection(13 * SECOND, 13 * SECOND));
    assertTrue(duty.acceptsCalls(11 * SECOND));
  }

  /**
   * Before it is killed, what it still has open gets an answer; with short deadlines that is
   * sooner.
   */
  @Test
  public void aProcessThatEndsCutsInTime() {
    duty.shutDown(10 * SECOND, true);
    assertFalse(duty.closesBusyConnection(13 * SECOND + 400_000, 0));
    assertTrue(duty.closesBusyConnection(13 * SECOND + 500_000, 0));
    Lifecycle brief = new Lifecycle(SECOND);
    brief.shutDown(10 * SECOND, false);
    assertFalse(brief.closesBusyConnection(11 * SECOND + 400_000, 0));
    assertTrue(brief.closesBusyConnection(11 * SECOND + 500_000, 0));
  }
}
