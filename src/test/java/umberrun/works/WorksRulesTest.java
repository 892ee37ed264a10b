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

/** The ledger's steps, the order, what stops plans and what a crew reports, each by itself. */
public class WorksRulesTest {
  private static final Member A = new Member("a", "1");
  private static final Member B = new Member("b", "2");
  private static final long SECOND = 1_000_000;

  private static Plan plan(String id, int atOnce, boolean oneHall, int floor, Late late) {
    return new Plan(
        id, "op", "disks", atOnce, oneHall, floor, 0, 5_000, late, false, false, State.RUNNING, "");
  }

  private static Machine waiting(String name, String hall, String plan) {
    return new Machine(name, hall, plan, Stage.WAITING, 0, 0, false, List.of(), "");
  }

  private static MachineView world(String... failing) {
    Map<String, MachineView.ObservedMachine> seen = new TreeMap<>();
    for (String n : List.of("x0", "x1", "x2", "y0", "y1", "y2")) {
      seen.put(
          n,
          new MachineView.ObservedMachine(
              n.substring(0, 1), "std", true, false, 5, false, List.of(failing).contains(n)));
    }
    return new MachineView(seen);
  }

  private static FrontEndReport report(
      Member m,
      Map<String, FrontEndReport.BanProgress> out,
      Map<String, Set<String>> copies,
      double taken,
      double refused) {
    return new FrontEndReport(m, out, Set.of(), Map.of("x1", 4), copies, taken, refused);
  }

  private static Ledger begun() {
    return Ledger.EMPTY
        .join(A, true)
        .join(B, true)
        .add(
            plan("p", 2, true, 2, Late.WAIT),
            List.of(waiting("x0", "x", "p"), waiting("x1", "x", "p"), waiting("y0", "y", "p")));
  }

  /** What is written is read, and a step that can't be made changes nothing and says why. */
  @Test
  public void stepsAreLegalOrRefused() {
    Ledger l = begun();
    assertEquals(l, Ledger.parse(l.text()));
    for (String spoilt :
        List.of(
            "{}",
            "null",
            "[",
            l.text().replace("\"stage\"", "\"rage\""),
            l.text().replace("\"roll\"", "\"role\""))) {
      assertThrows(spoilt, IllegalArgumentException.class, () -> Ledger.parse(spoilt));
    }
    for (Runnable bad :
        List.<Runnable>of(
            () -> l.add(plan("p", 1, true, 0, Late.WAIT), List.of(waiting("y2", "y", "p"))),
            () -> l.add(plan("q", 1, true, 0, Late.WAIT), List.of()),
            () -> l.add(plan("q", 1, true, 0, Late.WAIT), List.of(waiting("x0", "x", "q"))),
            () -> l.add(plan("q", 0, true, 0, Late.WAIT), List.of(waiting("y2", "y", "q"))),
            () -> l.done("op", "x0"),
            () -> l.stage(1, "x0", Stage.GOING, 0, ""),
            () -> l.force("op", "x0", "a"),
            () -> l.resume("op", "p"),
            () -> l.strike("op", "c"))) {
      assertThrows(Refused.class, bad::run);
    }
    Ledger moved = l.stage(3, "x0", Stage.MOVING, 5, "");
    assertThrows("an old fence", Refused.class, () -> moved.stage(2, "x1", Stage.MOVING, 5, ""));
    Ledger going = moved.stage(3, "x0", Stage.GOING, 5, "");
    assertEquals(Map.of("x0", going.steps()), going.out());
    assertThrows("twice", Refused.class, () -> going.stage(3, "x0", Stage.GOING, 5, ""));
    Ledger cancelled =
        going
            .stage(3, "x0", Stage.QUIET, 5, "")
            .stage(3, "x0", Stage.FREE, 5, "")
            .cancel("op", "p");
    assertEquals("who is free stays out", Set.of("x0"), cancelled.out().keySet());
    assertNull(cancelled.machine("x1"));
    assertEquals(Stage.BACK, cancelled.done("op", "x0").machine("x0").stage());
  }

  /**
   * A new process of a name takes the place of the former, unless that one still runs beside it.
   */
  @Test
  public void theRollHoldsWhoMaySend() {
    Ledger l = begun();
    Member again = new Member("a", "9");
    assertEquals(List.of(B, again), l.join(again, true).roll());
    assertEquals(List.of(A, B, again), l.join(again, false).roll());
    assertEquals(List.of(B, again), l.join(again, false).leave(A).roll());
    assertEquals(l, l.join(B, true));
    assertEquals(l.steps() + 1, l.strike("op", "a").steps());
  }

  /** The bounds of the register hold, however many plans there were. */
  @Test
  public void theLedgerStaysSmall() {
    Ledger l = Ledger.EMPTY;
    for (int i = 0; i < 100; i++) {
      String id = "p" + i;
      l =
          l.add(plan(id, 1, true, 0, Late.WAIT), List.of(waiting("m" + i, "x", id)))
              .skip("op", "m" + i)
              .end(1, id);
    }
    assertTrue(
        l.plans().size() + " plans, " + l.trail().size() + " lines",
        l.plans().size() < 8 && l.trail().size() <= 120);
    assertTrue(l.text().length() < 20_000);
  }

  /**
   * Who has the last copies goes last, the fuller hall first; floors, the budget and the one hall
   * say no, with their reasons.
   */
  @Test
  public void theOrderHasItsReasons() {
    Ledger l = begun();
    List<FrontEndReport> told =
        List.of(report(A, Map.of(), Map.of("f1", Set.of("x0"), "f2", Set.of("x1", "y1")), 50, 0));
    assertEquals(List.of("f1"), MachineOrder.lastCopies("x0", l, world(), told));
    assertEquals(List.of(), MachineOrder.lastCopies("x1", l, world(), told));
    List<MachineOrder.Place> places = MachineOrder.of(l, world(), told);
    assertEquals(
        List.of("y0", "x1", "x0"), places.stream().map(MachineOrder.Place::machine).toList());
    Ledger out = l.stage(1, "x1", Stage.MOVING, 5, "");
    List<MachineOrder.Place> then = MachineOrder.of(out, world(), told);
    assertFalse(
        then.stream().filter(p -> p.machine().equals("y0")).findFirst().orElseThrow().may());
    assertTrue(then.toString(), then.toString().contains("another hall is touched"));
    assertEquals(
        "f2 is the last one at x1's going",
        List.of(),
        MachineOrder.lastCopies("x1", out, world(), told));
    assertTrue(
        MachineOrder.of(l, world("y0", "y1", "y2", "x2"), told).toString().contains("must stay"));
    assertEquals("x2", MachineOrder.target("x0", l, world(), told));
  }

  private static PlanExecutor.PlannedStep next(
      PlanExecutor d, long at, Ledger l, MachineView w, List<FrontEndReport> told) {
    return d.nextStep(at, l, w, told);
  }

  /**
   * Last copies are ordered by who has most calls, and given up after their time; only then the
   * machine goes.
   */
  @Test
  public void lastCopiesGoFirst() {
    PlanExecutor d = new PlanExecutor(new PlanExecutor.Settings(SECOND, 3 * SECOND, 1.5, 0.1), 1);
    Ledger l = begun().takeOver(1).stage(1, "x0", Stage.MOVING, 5, "");
    List<FrontEndReport> told =
        List.of(
            report(A, Map.of(), Map.of("f1", Set.of("x0")), 5, 0),
            report(B, Map.of(), Map.of("f1", Set.of("x0")), 9, 0));
    assertEquals(
        List.of(new PlanExecutor.CopyMove("f1", "x2", "b")), d.copyMoves(l, world(), told));
    Ledger one = l.skip("op", "x1").skip("op", "y0");
    assertNull(next(d, SECOND, one, world(), told));
    PlanExecutor.PlannedStep gone = next(d, 5 * SECOND, one, world(), told);
    Ledger after = gone.step().apply(one);
    assertEquals(Stage.GOING, after.machine("x0").stage());
    assertTrue(after.machine("x0").note().contains("1 last copies"));
    assertThrows(
        "made of another version", Refused.class, () -> gone.step().apply(one.pause("op", "p")));
  }

  /**
   * A jump, refusals, a lost hall each stop a plan with the reason; after a quiet time it goes on.
   */
  @Test
  public void troubleStopsAPlanAndQuietLetsItGoOn() {
    for (String trouble : List.of("traffic jumped", "are refused", "is lost")) {
      PlanExecutor d = new PlanExecutor(new PlanExecutor.Settings(2 * SECOND, SECOND, 1.5, 0.1), 1);
      Ledger l = begun().takeOver(1);
      for (int i = 0; i < 100; i++) {
        d.nextStep(i * SECOND / 10, l, world(), List.of(report(A, Map.of(), Map.of(), 50, 0)));
      }
      PlanExecutor.PlannedStep held =
          trouble.startsWith("traffic")
              ? d.nextStep(10 * SECOND, l, world(), List.of(report(A, Map.of(), Map.of(), 100, 0)))
              : trouble.startsWith("are")
                  ? d.nextStep(
                      10 * SECOND, l, world(), List.of(report(A, Map.of(), Map.of(), 50, 20)))
                  : d.nextStep(
                      10 * SECOND,
                      l,
                      world("y0", "y1"),
                      List.of(report(A, Map.of(), Map.of(), 50, 0)));
      Ledger after = held.step().apply(l);
      assertEquals(State.HELD, after.plan("p").orElseThrow().state());
      assertTrue(
          after.plan("p").orElseThrow().reason(),
          after.plan("p").orElseThrow().reason().contains(trouble));
      assertNull(
          d.nextStep(11 * SECOND, after, world(), List.of(report(A, Map.of(), Map.of(), 50, 0))));
      assertEquals(
          State.RUNNING,
          d.nextStep(13 * SECOND, after, world(), List.of(report(A, Map.of(), Map.of(), 50, 0)))
              .step()
              .apply(after)
              .plan("p")
              .orElseThrow()
              .state());
    }
  }

  /** What takes too long is marked, skipped or stops the plan, as the plan says. */
  @Test
  public void overdueIsAsThePlanSays() {
    for (Late late : Late.values()) {
      PlanExecutor d = new PlanExecutor(new PlanExecutor.Settings(SECOND, SECOND, 9, 0.9), 1);
      Ledger l =
          Ledger.EMPTY
              .join(A, true)
              .add(plan("p", 1, true, 0, late), List.of(waiting("x0", "x", "p")))
              .takeOver(1)
              .stage(1, "x0", Stage.MOVING, 5, "")
              .stage(1, "x0", Stage.GOING, 5, "");
      assertNull(d.nextStep(0, l, world(), List.of()));
      Ledger after = d.nextStep(6 * SECOND, l, world(), List.of()).step().apply(l);
      assertEquals(
          late == Late.HOLD ? State.HELD : State.RUNNING, after.plan("p").orElseThrow().state());
      assertEquals(late != Late.SKIP, after.machine("x0") != null && after.machine("x0").overdue());
    }
  }

  /**
   * While two processes of a front end run it says nothing; resumed by hand here, a ban binds no
   * longer, but the next one does.
   */
  @Test
  public void aCrewSaysWhatItKnows() {
    PlanParticipant c = new PlanParticipant(A);
    Ledger l =
        begun().takeOver(1).stage(1, "x0", Stage.MOVING, 5, "").stage(1, "x0", Stage.GOING, 5, "");
    assertTrue(c.update(7, l));
    assertFalse("older", c.update(6, begun()));
    List<FrontEndReport> said = new ArrayList<>();
    for (boolean accompanied : new boolean[] {false, true}) {
      c.setAccompanied(accompanied);
      said.add(c.report(c.banned(), n -> 2, Map.of(), Map.of(), 0, 0));
    }
    assertEquals(Map.of("x0", new FrontEndReport.BanProgress(l.steps(), 2)), said.get(0).out());
    assertEquals(Map.of(), said.get(1).out());
    assertTrue(c.resumeByHand("x0") && c.banned().isEmpty() && !c.resumeByHand("x1"));
    Ledger again =
        l.skip("op", "x0")
            .add(plan("q", 1, true, 0, Late.WAIT), List.of(waiting("x0", "x", "q")))
            .stage(1, "x0", Stage.MOVING, 5, "")
            .stage(1, "x0", Stage.GOING, 5, "");
    c.update(9, again);
    assertEquals(Set.of("x0"), c.banned().keySet());
    c.update(10, again.strike("op", "a"));
    assertTrue(c.isRemoved());
  }
}
