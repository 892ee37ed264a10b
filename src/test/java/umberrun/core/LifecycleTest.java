package umberrun.core;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import org.junit.Before;
import org.junit.Test;
import umberrun.core.Lifecycle.State;

/**
 * The states of a process and how it treats its clients in each, by the time since a drain or
 * shutdown.
 */
public class LifecycleTest {
  private static final long SECOND_MICROS = 1_000_000;
  private final Lifecycle lifecycle = new Lifecycle(5 * SECOND_MICROS);

  @Before
  public void serves() {
    lifecycle.serve(0);
  }

  @Test
  public void aDrainFailsHealthChecksAtOnceAndClosesConnectionsInPhases() {
    assertTrue(lifecycle.drain(10 * SECOND_MICROS));
    assertFalse(lifecycle.isReady() || lifecycle.isHealthy());
    assertFalse(
        "new connections still come",
        lifecycle.closesIdleConnections(10 * SECOND_MICROS + 300_000));
    assertTrue(lifecycle.closesIdleConnections(10 * SECOND_MICROS + 400_000));
    assertTrue(lifecycle.acceptsCalls(11 * SECOND_MICROS));
    assertFalse(
        "a call this late would count as a violation", lifecycle.acceptsCalls(12 * SECOND_MICROS));
    assertFalse(lifecycle.closesBusyConnection(13 * SECOND_MICROS, 12 * SECOND_MICROS));
    assertTrue(lifecycle.closesBusyConnection(13 * SECOND_MICROS + 300_000, 12 * SECOND_MICROS));
    assertFalse(
        "its last call is older",
        lifecycle.closesBusyConnection(14 * SECOND_MICROS, 11 * SECOND_MICROS));
  }

  @Test
  public void aSecondDrainKeepsTheTimeOfTheFirst() {
    lifecycle.drain(10 * SECOND_MICROS);
    assertTrue(lifecycle.drain(11 * SECOND_MICROS));
    assertFalse(lifecycle.acceptsCalls(12 * SECOND_MICROS));
  }

  @Test
  public void aDrainCanBeEndedBeforeConnectionsClose() {
    lifecycle.drain(10 * SECOND_MICROS);
    assertTrue(lifecycle.activate(12 * SECOND_MICROS));
    assertTrue(
        lifecycle.isReady() && lifecycle.isHealthy() && lifecycle.acceptsCalls(20 * SECOND_MICROS));
    assertFalse(
        lifecycle.closesIdleConnections(20 * SECOND_MICROS)
            || lifecycle.closesBusyConnection(20 * SECOND_MICROS, 20 * SECOND_MICROS));
    assertTrue("activating again is allowed", lifecycle.activate(21 * SECOND_MICROS));
  }

  /**
   * A process that shuts down can be neither drained nor activated, and an activation does not make
   * a process serve that has not started.
   */
  @Test
  public void aShutdownIsFinal() {
    lifecycle.drain(10 * SECOND_MICROS);
    lifecycle.shutDown(11 * SECOND_MICROS, false);
    lifecycle.shutDown(12 * SECOND_MICROS, true);
    assertEquals(State.LEAVING, lifecycle.state());
    assertFalse(
        lifecycle.drain(12 * SECOND_MICROS)
            || lifecycle.activate(12 * SECOND_MICROS)
            || lifecycle.isHealthy());
    Lifecycle early = new Lifecycle(SECOND_MICROS);
    assertFalse(early.activate(0) || early.drain(0));
    early.shutDown(0, false);
    early.serve(1);
    assertEquals(State.LEAVING, early.state());
  }

  /**
   * During a handover the front end as a whole is healthy; failing health checks would keep clients
   * from the successor as well.
   */
  @Test
  public void aHandoverKeepsTheFrontEndHealthy() {
    lifecycle.shutDown(10 * SECOND_MICROS, true);
    assertTrue(
        lifecycle.isHealthy()
            && lifecycle.closesIdleConnections(10 * SECOND_MICROS)
            && lifecycle.acceptsCalls(10 * SECOND_MICROS + 600_000));
    assertFalse(lifecycle.isReady() || lifecycle.acceptsCalls(10 * SECOND_MICROS + 700_000));
  }

  /**
   * Without a successor connections stay open: their clients use them for a while and then go to
   * another front end.
   */
  @Test
  public void aPlannedRestartKeepsItsConnections() {
    lifecycle.shutDown(10 * SECOND_MICROS, false);
    assertFalse(
        lifecycle.isHealthy()
            || lifecycle.closesIdleConnections(11 * SECOND_MICROS)
            || lifecycle.closesBusyConnection(13 * SECOND_MICROS, 13 * SECOND_MICROS));
    assertTrue(lifecycle.acceptsCalls(11 * SECOND_MICROS));
  }

  /**
   * Calls that are still open get an answer before the process is killed, which is sooner where the
   * class deadlines are short.
   */
  @Test
  public void aShutdownClosesConnectionsBeforeTheProcessIsKilled() {
    lifecycle.shutDown(10 * SECOND_MICROS, true);
    assertFalse(lifecycle.closesBusyConnection(13 * SECOND_MICROS + 400_000, 0));
    assertTrue(lifecycle.closesBusyConnection(13 * SECOND_MICROS + 500_000, 0));
    Lifecycle brief = new Lifecycle(SECOND_MICROS);
    brief.shutDown(10 * SECOND_MICROS, false);
    assertFalse(brief.closesBusyConnection(11 * SECOND_MICROS + 400_000, 0));
    assertTrue(brief.closesBusyConnection(11 * SECOND_MICROS + 500_000, 0));
  }
}
