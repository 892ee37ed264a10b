package saddlestall;

import java.util.ArrayList;
import java.util.List;
import saddlestall.Dispatcher.*;

/** Drives one dispatcher on a simulated clock and collects its actions. */
final class DispatcherFixture {
  static final long MILLISECOND = 1_000;
  static final long SECOND = 1_000_000;
  static final int IDEMPOTENT_CLASS = 0;
  static final int NOT_IDEMPOTENT_CLASS = 1;
  static final int DEDUPLICATED_CLASS = 2;

  final List<Action> actions = new ArrayList<>();
  final AdaptiveDispatcher dispatcher;
  long now;

  DispatcherFixture(Settings settings, long seed) {
    now = 100 * SECOND;
    dispatcher = new AdaptiveDispatcher(settings, seed, now, actions::add);
  }

  static Settings settings(boolean mayPreload, DedupScope dedupScope) {
    List<CallClass> classes =
        List.of(
            new CallClass(
                600 * MILLISECOND,
                0,
                2500 * MILLISECOND,
                Idempotency.IDEMPOTENT,
                DedupScope.ALL,
                0,
                1,
                0.2,
                false),
            new CallClass(
                600 * MILLISECOND,
                0,
                2500 * MILLISECOND,
                Idempotency.NOT_IDEMPOTENT,
                DedupScope.ALL,
                0,
                3,
                0.2,
                false),
            new CallClass(
                600 * MILLISECOND,
                0,
                2500 * MILLISECOND,
                Idempotency.DEDUPLICATED,
                dedupScope,
                SECOND,
                2,
                0.2,
                false));
    return settings(classes, mayPreload);
  }

  static Settings settings(List<CallClass> classes, boolean mayPreload) {
    return new Settings(
        0,
        2,
        0,
        classes,
        List.of(new Tenant(1, 1000)),
        0.2,
        false,
        false,
        WeightKind.SILENT,
        List.of(),
        new Limits(true, true, true, false, true, 500 * MILLISECOND, 4, 250 * MILLISECOND),
        new Rules(
            16 * MILLISECOND, 10 * SECOND, 250 * MILLISECOND, 15 * SECOND, 0.15, 2 * SECOND, 3),
        new LoadPolicy(true, mayPreload, 5 * SECOND, 2, 0.15, 10 * SECOND, true, true, 0.1),
        new LoadReportFormat(
            ReportDelivery.PROBES, List.of(ReportField.UTILIZATION, ReportField.QUEUE)),
        new Costs(0, 0, 0, 0, 0, 0));
  }

  static WorkerEntry entry(int id, WorkerState state, long startedAt) {
    return new WorkerEntry(id, id % 3, 0, id % 2, state, 1, startedAt);
  }

  /** Sends a complete worker list with the workers 1 to {@code count}, all warm. */
  DispatcherFixture listWorkers(int count) {
    List<WorkerEntry> entries = new ArrayList<>();
    for (int id = 1; id <= count; id++) {
      entries.add(entry(id, WorkerState.READY, 0));
    }
    return event(new WorkerListUpdate(ListKind.FULL, entries));
  }

  DispatcherFixture event(Event event) {
    dispatcher.handle(now, event, actions::add);
    return this;
  }

  void exportObservations(java.util.function.Consumer<Dispatcher.Observation> observations) {
    dispatcher.exportObservations(now, observations);
  }

  /** Advances the clock without an event. */
  DispatcherFixture advance(long millis) {
    now += millis * MILLISECOND;
    return this;
  }

  /** Advances the clock in ticks of 50 ms. */
  DispatcherFixture advanceInTicks(long millis) {
    for (long t = 0; t < millis; t += 50) {
      advance(50).event(new TimerFired(-1));
    }
    return this;
  }

  DispatcherFixture call(int id, int callClass, long function) {
    return event(
        new CallArrival(
            id,
            2500 * MILLISECOND,
            0,
            function,
            2,
            300,
            callClass,
            0,
            false,
            false,
            500 * MILLISECOND));
  }

  DispatcherFixture outcome(Send send, int attempt, OutcomeCode code, long elapsedMillis) {
    CopyStatus copyStatus = code == OutcomeCode.OK ? CopyStatus.WARM : CopyStatus.NONE;
    return event(
        new AttemptOutcome(
            send.call(),
            attempt,
            send.worker(),
            code,
            elapsedMillis * MILLISECOND,
            code == OutcomeCode.OK,
            copyStatus,
            code == OutcomeCode.OK ? 0 : -1,
            null));
  }

  <T extends Action> List<T> all(Class<T> type) {
    return actions.stream().filter(type::isInstance).map(type::cast).toList();
  }

  Send lastSend() {
    List<Send> sends = all(Send.class);
    return sends.get(sends.size() - 1);
  }

  List<Send> sends(int call) {
    return all(Send.class).stream().filter(s -> s.call() == call).toList();
  }

  boolean refused(int call) {
    return all(Refuse.class).stream().anyMatch(r -> r.call() == call);
  }

  boolean failed(int call) {
    return all(Fail.class).stream().anyMatch(f -> f.call() == call);
  }
}
