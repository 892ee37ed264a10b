package umberrun.core;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import saddlestall.Dispatcher;
import saddlestall.Dispatcher.Settings;
import saddlestall.Dispatcher.WorkerState;
import umberrun.core.WorkerSuspensions.EffectiveState;

/**
 * What a front end knows of its workers, for operators, probers and plans. Reads the state of the
 * {@link DispatchLoop} and changes nothing; to be used on its thread.
 */
public final class WorkerReports {
  private final Clock clock;
  private final Settings settings;
  private final WorkerTable workerTable;
  private final WorkerSuspensions suspensions;
  private final DiscoveryMonitor discovery;
  private final Dispatcher dispatcher;
  private final Function<WorkerTable.Entry, EffectiveState> effectiveState;
  private final Map<Integer, Integer> inFlight;
  private final Set<String> reportedFailing;

  /**
   * @param effectiveState the state of a worker by the list, suspensions and its lease together
   * @param inFlight attempts and preload requests in flight, by worker number
   * @param reportedFailing names of workers that a hall's health prober reports as failing
   */
  WorkerReports(
      Clock clock,
      Settings settings,
      WorkerTable workerTable,
      WorkerSuspensions suspensions,
      DiscoveryMonitor discovery,
      Dispatcher dispatcher,
      Function<WorkerTable.Entry, EffectiveState> effectiveState,
      Map<Integer, Integer> inFlight,
      Set<String> reportedFailing) {
    this.clock = clock;
    this.settings = settings;
    this.workerTable = workerTable;
    this.suspensions = suspensions;
    this.discovery = discovery;
    this.dispatcher = dispatcher;
    this.effectiveState = effectiveState;
    this.inFlight = inFlight;
    this.reportedFailing = reportedFailing;
  }

  /**
   * Sorted names of the workers that may get work.
   *
   * @param zone index of the hall in the settings, or -1 for all halls
   */
  public List<String> readyWorkers(int zone) {
    List<String> names = new ArrayList<>();
    for (WorkerTable.Entry entry : workerTable.all()) {
      if ((zone < 0 || entry.endpoint().zone() == zone)
          && effectiveState.apply(entry).state() == WorkerState.READY) {
        names.add(entry.endpoint().name());
      }
    }
    names.sort(null);
    return names;
  }

  /**
   * Describes the workers for operators: a line for each that is listed or suspended, with its
   * name, its state, and since when it is held back or suspended.
   */
  String describe() {
    Map<String, String> lines = new TreeMap<>();
    suspensions.suspendedAt().forEach((name, at) -> lines.put(name, "unlisted"));
    workerTable.all().forEach(entry -> lines.put(entry.endpoint().name(), describeState(entry)));
    StringBuilder text = new StringBuilder();
    lines.forEach(
        (name, state) ->
            text.append(name)
                .append(' ')
                .append(state)
                .append(describeSuspension(name))
                .append('\n'));
    return text.toString();
  }

  private String describeState(WorkerTable.Entry entry) {
    String state = entry.endpoint().state().name().toLowerCase(Locale.ROOT);
    return discovery.leases().isHeldBack(entry.id())
        ? state + " held back since " + instant(discovery.leases().heldBackSince(entry.id()))
        : state;
  }

  private String describeSuspension(String worker) {
    return suspensions.isSuspended(worker)
        ? " out since " + instant(suspensions.suspendedAt().get(worker))
        : "";
  }

  private static Instant instant(long micros) {
    return Instant.ofEpochMilli(micros / 1_000);
  }

  /** The listed workers. Suspensions do not affect {@code ready}. */
  public List<WorkerView> workerViews() {
    long now = clock.now();
    List<WorkerView> views = new ArrayList<>();
    for (WorkerTable.Entry entry : workerTable.all()) {
      Endpoint endpoint = entry.endpoint();
      long startedAt = effectiveState.apply(entry).startedAt();
      // A worker whose lease has ended may drain, so it does not count as ready.
      boolean ready =
          endpoint.state() == WorkerState.READY && !discovery.leases().isHeldBack(entry.id());
      views.add(
          new WorkerView(
              endpoint.name(),
              endpoint.zone(),
              endpoint.kind(),
              ready,
              endpoint.startedAt(),
              startedAt > 0 && now - startedAt < settings.rules().coldDuration(),
              reportedFailing.contains(endpoint.name())));
    }
    return views;
  }

  /**
   * Attempts and preload requests in flight, by worker name. Leaves out workers that are no longer
   * listed.
   */
  public Map<String, Integer> inFlightByWorker() {
    Map<String, Integer> byName = new TreeMap<>();
    inFlight.forEach(
        (id, count) -> {
          WorkerTable.Entry entry = workerTable.find(id);
          if (entry != null) {
            byName.put(entry.endpoint().name(), count);
          }
        });
    return byName;
  }

  /**
   * Functions in recent use, as 16 hex digits, and the names of the workers that have them loaded,
   * as far as this front end has observed.
   *
   * @param limit the number of functions that are considered, the most used first
   */
  public Map<String, Set<String>> copiesByFunction(int limit) {
    Map<Long, Double> recentCalls = new HashMap<>();
    Map<Long, Set<String>> workersByFunction = new HashMap<>();
    dispatcher.exportObservations(
        clock.now(),
        observation -> {
          if (observation instanceof Dispatcher.FunctionObservation function
              && function.recentCalls() >= 1) {
            recentCalls.put(function.function(), function.recentCalls());
          } else if (observation instanceof Dispatcher.CopyObservation copy
              && workerTable.find(copy.worker()) != null
              && !discovery.leases().isHeldBack(copy.worker())) {
            workersByFunction
                .computeIfAbsent(copy.function(), k -> new HashSet<>())
                .add(workerTable.find(copy.worker()).endpoint().name());
          }
        });
    Map<String, Set<String>> byName = new TreeMap<>();
    recentCalls.entrySet().stream()
        .sorted(Map.Entry.<Long, Double>comparingByValue().reversed())
        .limit(limit)
        .filter(e -> workersByFunction.containsKey(e.getKey()))
        .forEach(
            e -> byName.put(String.format("%016x", e.getKey()), workersByFunction.get(e.getKey())));
    return byName;
  }
}
