package saddlestall;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static saddlestall.DispatcherFixture.DEDUPLICATED_CLASS;
import static saddlestall.DispatcherFixture.IDEMPOTENT_CLASS;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import saddlestall.Dispatcher.*;
import saddlestall.FunctionTable.Standing;

/** What the dispatcher remembers of the functions that callers name. */
class FunctionFloodTest {
  private static final int WORKERS = 16;
  private static final int FLOOD_CALLS = 60_000;
  private static final int FIRST_FLOOD_CALL = 1_000_000;
  private static final int MAX_UNUSED =
      Standing.UNSERVED.capacity() + Standing.SERVED.capacity() + Standing.REGULAR.capacity();
  private static final int USUAL_FUNCTIONS = 20;
  private static final int RETENTION_MILLIS = 60_000;
  private static final int OPEN_CALL = 900;
  private static final long OPEN_FUNCTION = 77;

  private final DispatcherFixture fixture =
      new DispatcherFixture(DispatcherFixture.settings(true, DedupScope.ALL), 1)
          .listWorkers(WORKERS);
  private int nextCall = 1;

  private void callUsualFunction(int number) {
    int id = nextCall++;
    fixture.call(id, IDEMPOTENT_CLASS, number);
    fixture.sends(id).forEach(send -> fixture.outcome(send, 0, OutcomeCode.OK, 40));
    fixture.actions.clear();
  }

  private int copies() {
    return fixture.dispatcher.workers.values().stream().mapToInt(w -> w.copies.size()).sum();
  }

  private Set<Long> exportedFunctions() {
    Set<Long> exported = new HashSet<>();
    fixture.exportObservations(
        observation -> {
          if (observation instanceof FunctionObservation function) {
            exported.add(function.function());
          }
        });
    return exported;
  }

  private void flood(boolean served) {
    for (int i = 0; i < FLOOD_CALLS; i++) {
      int id = FIRST_FLOOD_CALL + i;
      fixture.call(id, IDEMPOTENT_CLASS, id);
      for (int attempt = 0; attempt < fixture.sends(id).size(); attempt++) {
        OutcomeCode code = served ? OutcomeCode.OK : OutcomeCode.ERROR;
        fixture.outcome(fixture.sends(id).get(attempt), attempt, code, 5);
      }
      fixture.event(new ClientDisconnected(id));
      fixture.actions.clear();
      if (i % 10 == 0) {
        fixture.advanceInTicks(50);
      }
      // Each usual function is called once a second and a half.
      if (i % 15 == 0) {
        callUsualFunction(i / 15 % USUAL_FUNCTIONS);
      }
    }
  }

  /**
   * Guards against a heap that fills with the ids that callers make up, and against ids that push
   * out what is known of functions in use.
   */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void callsOfEverNewFunctionsAreForgotten(boolean served) {
    for (int i = 0; i < 10 * USUAL_FUNCTIONS; i++) {
      callUsualFunction(i % USUAL_FUNCTIONS);
      fixture.advanceInTicks(100);
    }
    fixture.call(OPEN_CALL, DEDUPLICATED_CLASS, OPEN_FUNCTION);
    Send open = fixture.lastSend();
    int known = fixture.dispatcher.functions.size();
    flood(served);
    assertTrue(
        fixture.dispatcher.functions.size() <= MAX_UNUSED + 1,
        "remembered: " + fixture.dispatcher.functions.size());
    assertTrue(copies() <= 2 * (MAX_UNUSED + 1) + WORKERS * USUAL_FUNCTIONS, "copies: " + copies());
    Set<Long> exported = exportedFunctions();
    for (long function = 0; function < USUAL_FUNCTIONS; function++) {
      assertTrue(exported.contains(function), "lost: " + function);
    }
    fixture.outcome(open, 0, OutcomeCode.OK, 40);
    assertTrue(exportedFunctions().contains(OPEN_FUNCTION));
    fixture.advanceInTicks(RETENTION_MILLIS);
    for (int i = 0; i < USUAL_FUNCTIONS; i++) {
      callUsualFunction(i);
    }
    fixture.advanceInTicks(RETENTION_MILLIS - 1_000);
    assertTrue(fixture.dispatcher.functions.size() <= known, "room does not come back");
  }

  /** Guards against copies that peers report and that nothing ever removes. */
  @Test
  void copiesThatPeersReportAreForgotten() {
    for (int i = 0; i < FLOOD_CALLS; i++) {
      fixture.event(new CopyObservation(1 + i % WORKERS, i, 1, 0.9));
    }
    assertTrue(copies() <= Standing.SERVED.capacity(), "copies: " + copies());
    fixture.event(new CopyRequested(1, FLOOD_CALLS - WORKERS));
    assertTrue(fixture.all(Preload.class).isEmpty(), "no client has called this function");
    fixture.advanceInTicks(2 * RETENTION_MILLIS);
    assertEquals(0, copies());
  }

  /** Guards against home orders that fill the heap where there are many workers. */
  @Test
  void moreWorkersMakeFewerFunctions() {
    FunctionTable table = new FunctionTable(function -> {});
    table.setWorkers(4 * FunctionTable.FULL_CAPACITY_WORKERS);
    for (int id = 0; id < MAX_UNUSED; id++) {
      table.release(table.acquireForCall(id, 0));
    }
    assertEquals(Standing.UNSERVED.capacity() / 4, table.size());
  }

  /** Guards against a function that is forgotten while a call of it is open. */
  @Test
  void functionsInUseStayAndRegularOnesOutliveNewOnes() {
    List<Function> forgotten = new ArrayList<>();
    FunctionTable table = new FunctionTable(forgotten::add);
    Function open = table.acquireForCall(1, 0);
    Function regular = table.acquireForCall(2, 0);
    table.onServed(regular);
    table.release(regular);
    table.release(table.acquireForCall(2, 2_000_000));
    assertEquals(Standing.REGULAR, regular.standing);
    for (int id = 10; id < 10 + FLOOD_CALLS; id++) {
      Function function = table.acquireForCall(id, 3_000_000);
      table.onServed(function);
      table.release(function);
    }
    assertTrue(table.contains(1) && table.contains(2));
    assertEquals(FLOOD_CALLS - Standing.SERVED.capacity(), forgotten.size());
    long before = table.size();
    table.forgetIdle(100_000_000);
    assertTrue(before - table.size() <= 10, "work of one tick: " + (before - table.size()));
    while (table.size() > 1) {
      table.forgetIdle(100_000_000);
    }
    assertTrue(table.contains(1));
    table.release(open);
    table.forgetIdle(100_000_000);
    assertFalse(table.contains(1));
  }
}
