package umberrun.works;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.junit.Test;
import umberrun.works.Ledger.Late;
import umberrun.works.Ledger.Machine;
import umberrun.works.Ledger.Member;
import umberrun.works.Ledger.Plan;
import umberrun.works.Ledger.Refused;
import umberrun.works.Ledger.State;

/** Unit tests of the ledger, the machine order, the executor and the participant. */
public class WorksRulesTest {
  private static final Member A = new Member("a", "1");
  private static final Member B = new Member("b", "2");
  private static final long SECOND = 1_000_000;

  private static Plan plan(
      String id, int maxMissing, boolean singleHall, int minReady, Late whenOverdue) {
    return new Plan(
        id,
        "op",
        "disks",
        maxMissing,
        singleHall,
        minReady,
        0,
        5_000,
        whenOverdue,
        false,
        false,
        State.RUNNING,
        "");
  }

  private static Machine waiting(String name, String hall, String plan) {
    return new Machine(name, hall, plan, Stage.WAITING, 0, 0, false, List.of(), "");
  }

  private static MachineView view(String... failing) {
    Map<String, MachineView.ObservedMachine> observed = new TreeMap<>();
    for (String n : List.of("x0", "x1", "x2", "y0", "y1", "y2")) {
      observed.put(
          n,
          new MachineView.ObservedMachine(
              n.substring(0, 1), "std", true, false, 5, false, List.of(failing).contains(n)));
    }
    return new MachineView(observed);
  }

  private static FrontEndReport report(
      Member m,
      Map<String, FrontEndReport.BanProgress> out,
      Map<String, Set<String>> copies,
      double callsPerSecond,
      double refusedPerSecond) {
    return new FrontEndReport(
        m, out, Set.of(), Map.of("x1", 4), copies, callsPerSecond, refusedPerSecond);
  }

  private static Ledger twoMembersAndAPlan() {
    return Ledger.EMPTY
        .join(A, true)
        .join(B, true)
        .addPlan(
            plan("p", 2, true, 2, Late.WAIT),
            List.of(waiting("x0", "x", "p"), waiting("x1", "x", "p"), waiting("y0", "y", "p")));
  }

  /** A ledger survives writing and parsing, invalid texts and steps that are not allowed do not. */
  @Test
  public void stepsAreLegalOrRefused() {
    Ledger ledger = twoMembersAndAPlan();
    assertEquals(ledger, Ledger.parse(ledger.text()));
    for (String invalid :
        List.of(
            "{}",
            "null",
            "[",
            ledger.text().replace("\"stage\"", "\"rage\""),
            ledger.text().replace("\"roll\"", "\"role\""))) {
      assertThrows(invalid, IllegalArgumentException.class, () -> Ledger.parse(invalid));
    }
    for (Runnable bad :
        List.<Runnable>of(
            () ->
                ledger.addPlan(plan("p", 1, true, 0, Late.WAIT), List.of(waiting("y2", "y", "p"))),
            () -> ledger.addPlan(plan("q", 1, true, 0, Late.WAIT), List.of()),
            () ->
                ledger.addPlan(plan("q", 1, true, 0, Late.WAIT), List.of(waiting("x0", "x", "q"))),
            () ->
                ledger.addPlan(plan("q", 0, true, 0, Late.WAIT), List.of(waiting("y2", "y", "q"))),
            () -> ledger.markDone("op", "x0"),
            () -> ledger.advance(1, "x0", Stage.GOING, 0, ""),
            () -> ledger.force("op", "x0", "a"),
            () -> ledger.resume("op", "p"),
            () -> ledger.removeMember("op", "c"))) {
      assertThrows(Refused.class, bad::run);
    }
    Ledger moved = ledger.advance(3, "x0", Stage.MOVING, 5, "");
    assertThrows("an old fence", Refused.class, () -> moved.advance(2, "x1", Stage.MOVING, 5, ""));
    Ledger going = moved.advance(3, "x0", Stage.GOING, 5, "");
    assertEquals(Map.of("x0", going.steps()), going.bans());
    assertThrows("twice", Refused.class, () -> going.advance(3, "x0", Stage.GOING, 5, ""));
    Ledger cancelled =
        going
            .advance(3, "x0", Stage.QUIET, 5, "")
            .advance(3, "x0", Stage.FREE, 5, "")
            .cancel("op", "p");
    assertEquals("a free machine stays out", Set.of("x0"), cancelled.bans().keySet());
    assertNull(cancelled.activeMachine("x1"));
    assertEquals(Stage.BACK, cancelled.markDone("op", "x0").activeMachine("x0").stage());
  }

  /**
   * A new process replaces the earlier one of the same name, unless that one still runs beside it.
   */
  @Test
  public void membersAreTheProcessesThatMaySend() {
    Ledger ledger = twoMembersAndAPlan();
    Member again = new Member("a", "9");
    assertEquals(List.of(B, again), ledger.join(again, true).members());
    assertEquals(List.of(A, B, again), ledger.join(again, false).members());
    assertEquals(List.of(B, again), ledger.join(again, false).leave(A).members());
    assertEquals(ledger, ledger.join(B, true));
    assertEquals(ledger.steps() + 1, ledger.removeMember("op", "a").steps());
  }

  /** Old plans and trail entries are dropped, so that the ledger fits into its register. */
  @Test
  public void theLedgerStaysSmall() {
    Ledger ledger = Ledger.EMPTY;
    for (int i = 0; i < 100; i++) {
      String id = "p" + i;
      ledger =
          ledger
              .addPlan(plan(id, 1, true, 0, Late.WAIT), List.of(waiting("m" + i, "x", id)))
              .skip("op", "m" + i)
              .endPlan(1, id);
    }
    assertTrue(
        ledger.plans().size() + " plans, " + ledger.auditTrail().size() + " lines",
        ledger.plans().size() < 8 && ledger.auditTrail().size() <= 120);
    assertTrue(ledger.text().length() < 20_000);
  }

  /**
   * Machines with last copies go last and those of the hall with most ready machines first; the
   * limits of the plan forbid machines to go, with reasons.
   */
  @Test
  public void orderFollowsCopiesAndLimitsWithReasons() {
    Ledger ledger = twoMembersAndAPlan();
    List<FrontEndReport> reports =
        List.of(report(A, Map.of(), Map.of("f1", Set.of("x0"), "f2", Set.of("x1", "y1")), 50, 0));
    assertEquals(List.of("f1"), MachineOrder.lastCopies("x0", ledger, view(), reports));
    assertEquals(List.of(), MachineOrder.lastCopies("x1", ledger, view(), reports));
    List<MachineOrder.Place> places = MachineOrder.of(ledger, view(), reports);
    assertEquals(
        List.of("y0", "x1", "x0"), places.stream().map(MachineOrder.Place::machine).toList());
    Ledger out = ledger.advance(1, "x1", Stage.MOVING, 5, "");
    List<MachineOrder.Place> then = MachineOrder.of(out, view(), reports);
    assertFalse(
        then.stream().filter(p -> p.machine().equals("y0")).findFirst().orElseThrow().mayGo());
    assertTrue(then.toString(), then.toString().contains("another hall is touched"));
    assertEquals(
        "f2 is also loaded on y1, which stays",
        List.of(),
        MachineOrder.lastCopies("x1", out, view(), reports));
    assertTrue(
        MachineOrder.of(ledger, view("y0", "y1", "y2", "x2"), reports)
            .toString()
            .contains("must stay"));
    assertEquals("x2", MachineOrder.target("x0", ledger, view(), reports));
  }

  private static PlanExecutor.PlannedStep nextStep(
      PlanExecutor executor, long now, Ledger ledger, MachineView w, List<FrontEndReport> reports) {
    return executor.nextStep(now, ledger, w, reports);
  }

  /**
   * The front end with the most calls loads last copies elsewhere; the machine goes out only after
   * that or after the timeout.
   */
  @Test
  public void lastCopiesAreLoadedElsewhereFirst() {
    PlanExecutor executor =
        new PlanExecutor(new PlanExecutor.Settings(SECOND, 3 * SECOND, 1.5, 0.1), 1);
    Ledger ledger = twoMembersAndAPlan().takeOver(1).advance(1, "x0", Stage.MOVING, 5, "");
    List<FrontEndReport> reports =
        List.of(
            report(A, Map.of(), Map.of("f1", Set.of("x0")), 5, 0),
            report(B, Map.of(), Map.of("f1", Set.of("x0")), 9, 0));
    assertEquals(
        List.of(new PlanExecutor.CopyMove("f1", "x2", "b")),
        executor.copyMoves(ledger, view(), reports));
    Ledger one = ledger.skip("op", "x1").skip("op", "y0");
    assertNull(nextStep(executor, SECOND, one, view(), reports));
    PlanExecutor.PlannedStep gone = nextStep(executor, 5 * SECOND, one, view(), reports);
    Ledger after = gone.step().apply(one);
    assertEquals(Stage.GOING, after.activeMachine("x0").stage());
    assertTrue(after.activeMachine("x0").note().contains("1 last copies"));
    assertThrows(
        "made of another version", Refused.class, () -> gone.step().apply(one.pause("op", "p")));
  }

  /**
   * A jump of the traffic, refused calls and a lost hall each hold a plan with the reason; it goes
   * on after the recovery time.
   */
  @Test
  public void disturbanceHoldsAPlanUntilTheRecoveryTime() {
    for (String disturbance : List.of("traffic jumped", "are refused", "is lost")) {
      PlanExecutor executor =
          new PlanExecutor(new PlanExecutor.Settings(2 * SECOND, SECOND, 1.5, 0.1), 1);
      Ledger ledger = twoMembersAndAPlan().takeOver(1);
      for (int i = 0; i < 100; i++) {
        executor.nextStep(
            i * SECOND / 10, ledger, view(), List.of(report(A, Map.of(), Map.of(), 50, 0)));
      }
      PlanExecutor.PlannedStep held =
          disturbance.startsWith("traffic")
              ? executor.nextStep(
                  10 * SECOND, ledger, view(), List.of(report(A, Map.of(), Map.of(), 100, 0)))
              : disturbance.startsWith("are")
                  ? executor.nextStep(
                      10 * SECOND, ledger, view(), List.of(report(A, Map.of(), Map.of(), 50, 20)))
                  : executor.nextStep(
                      10 * SECOND,
                      ledger,
                      view("y0", "y1"),
                      List.of(report(A, Map.of(), Map.of(), 50, 0)));
      Ledger after = held.step().apply(ledger);
      assertEquals(State.HELD, after.plan("p").orElseThrow().state());
      assertTrue(
          after.plan("p").orElseThrow().reason(),
          after.plan("p").orElseThrow().reason().contains(disturbance));
      assertNull(
          executor.nextStep(
              11 * SECOND, after, view(), List.of(report(A, Map.of(), Map.of(), 50, 0))));
      assertEquals(
          State.RUNNING,
          executor
              .nextStep(13 * SECOND, after, view(), List.of(report(A, Map.of(), Map.of(), 50, 0)))
              .step()
              .apply(after)
              .plan("p")
              .orElseThrow()
              .state());
    }
  }

  /** An overdue machine is marked, skipped or holds its plan, as the plan says. */
  @Test
  public void overdueMachinesAreTreatedAsThePlanSays() {
    for (Late whenOverdue : Late.values()) {
      PlanExecutor executor =
          new PlanExecutor(new PlanExecutor.Settings(SECOND, SECOND, 9, 0.9), 1);
      Ledger ledger =
          Ledger.EMPTY
              .join(A, true)
              .addPlan(plan("p", 1, true, 0, whenOverdue), List.of(waiting("x0", "x", "p")))
              .takeOver(1)
              .advance(1, "x0", Stage.MOVING, 5, "")
              .advance(1, "x0", Stage.GOING, 5, "");
      assertNull(executor.nextStep(0, ledger, view(), List.of()));
      Ledger after = executor.nextStep(6 * SECOND, ledger, view(), List.of()).step().apply(ledger);
      assertEquals(
          whenOverdue == Late.HOLD ? State.HELD : State.RUNNING,
          after.plan("p").orElseThrow().state());
      assertEquals(
          whenOverdue != Late.SKIP,
          after.activeMachine("x0") != null && after.activeMachine("x0").overdue());
    }
  }

  /**
   * A participant reports no bans while another process of its front end runs; resuming a machine
   * manually lifts its current ban, but not the next one.
   */
  @Test
  public void participantReportsItsBans() {
    PlanParticipant participant = new PlanParticipant(A);
    Ledger ledger =
        twoMembersAndAPlan()
            .takeOver(1)
            .advance(1, "x0", Stage.MOVING, 5, "")
            .advance(1, "x0", Stage.GOING, 5, "");
    assertTrue(participant.update(7, ledger));
    assertFalse("older", participant.update(6, twoMembersAndAPlan()));
    List<FrontEndReport> reports = new ArrayList<>();
    for (boolean accompanied : new boolean[] {false, true}) {
      participant.setAccompanied(accompanied);
      reports.add(participant.report(participant.banned(), n -> 2, Map.of(), Map.of(), 0, 0));
    }
    assertEquals(
        Map.of("x0", new FrontEndReport.BanProgress(ledger.steps(), 2)), reports.get(0).bans());
    assertEquals(Map.of(), reports.get(1).bans());
    assertTrue(
        participant.resumeManually("x0")
            && participant.banned().isEmpty()
            && !participant.resumeManually("x1"));
    Ledger again =
        ledger
            .skip("op", "x0")
            .addPlan(plan("q", 1, true, 0, Late.WAIT), List.of(waiting("x0", "x", "q")))
            .advance(1, "x0", Stage.MOVING, 5, "")
            .advance(1, "x0", Stage.GOING, 5, "");
    participant.update(9, again);
    assertEquals(Set.of("x0"), participant.banned().keySet());
    participant.update(10, again.removeMember("op", "a"));
    assertTrue(participant.isRemoved());
  }
}
