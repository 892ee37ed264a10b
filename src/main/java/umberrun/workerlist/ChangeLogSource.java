package umberrun.workerlist;

import static umberrun.workerlist.JsonFields.indexOf;
import static umberrun.workerlist.JsonFields.number;
import static umberrun.workerlist.JsonFields.text;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.SocketAddress;
import java.util.List;
import saddlestall.Dispatcher.ListKind;
import saddlestall.Dispatcher.WorkerState;
import umberrun.config.Config.SettingNames;
import umberrun.core.Clock;
import umberrun.core.DispatchLoop;
import umberrun.core.Endpoint;
import umberrun.stats.Counters;

/**
 * Follows the list of workers in the platform's change log by long polling. A failed poll is
 * retried; until one succeeds, the list stays as it is.
 */
public final class ChangeLogSource implements WorkerListSource {
  /**
   * How long the log may wait for an event before it responds. Short, since a log that has stopped
   * is detected only after this time.
   */
  private static final long POLL_WAIT_MILLIS = 1_000;

  /** The wait requested after a failed poll, to detect soon that the log is back. */
  private static final long RECOVERY_POLL_WAIT_MILLIS = 50;

  private final LongPoller poller;
  private final DispatchLoop dispatchLoop;
  private final Clock clock;
  private final SettingNames names;
  private final Counters counters;

  /** The highest sequence number received; 0 before the first event. */
  private long lastSequence;

  private boolean lastPollSucceeded;

  /**
   * @param address the HTTP address of the change log
   * @param names the zones and kinds of the settings, whose order gives their indexes
   */
  public ChangeLogSource(
      Vertx vertx,
      SocketAddress address,
      DispatchLoop dispatchLoop,
      Clock clock,
      SettingNames names,
      Counters counters) {
    this.dispatchLoop = dispatchLoop;
    this.clock = clock;
    this.names = names;
    this.counters = counters;
    this.poller = new LongPoller(vertx, address, counters);
  }

  /** Applies the events that are part of the configuration. */
  public void loadInitial(JsonObject events) {
    applyAll(events);
  }

  @Override
  public void start() {
    poller.repeat(POLL_WAIT_MILLIS, this::poll);
  }

  private Future<Void> poll() {
    long requestedAt = clock.now();
    long waitMillis = lastPollSucceeded ? POLL_WAIT_MILLIS : RECOVERY_POLL_WAIT_MILLIS;
    return poller
        .request(
            HttpMethod.GET,
            "/changes?since=" + lastSequence + "&timeout=" + waitMillis,
            Buffer.buffer(),
            waitMillis + LongPoller.LATE_RESPONSE_MILLIS)
        .<Void>map(
            response -> {
              JsonObject events = response.json().getAsJsonObject();
              long last = (long) number(events, "seq");
              // A log that lags behind its earlier responses does not show the current list.
              if (last > 0 && last < lastSequence) {
                throw new IllegalStateException("change log is behind an earlier response");
              }
              applyAll(events);
              return null;
            })
        .onSuccess(
            v -> {
              lastPollSucceeded = true;
              dispatchLoop.discovery().onResponse(requestedAt);
            })
        .onFailure(
            e -> {
              lastPollSucceeded = false;
              if (e instanceof LongPoller.ResponseAborted) {
                dispatchLoop.discovery().onResponseAborted();
              }
            });
  }

  /** Polls the log at another address from now on; its sequence numbers continue. */
  public void moveTo(SocketAddress address) {
    poller.moveTo(address);
  }

  private void applyAll(JsonObject events) {
    if (events.get("results") instanceof JsonArray results) {
      for (JsonElement e : results) {
        // A malformed event is skipped like a malformed list entry: otherwise it would return with
        // each poll and block the list for good.
        JsonFields.readOrNull(
            () -> {
              apply(e.getAsJsonObject().get("seq").getAsLong(), e.getAsJsonObject());
              return null;
            },
            counters);
      }
    }
    lastSequence = Math.max(lastSequence, (long) number(events, "seq"));
  }

  private void apply(long sequence, JsonObject event) {
    boolean first = lastSequence == 0;
    boolean isNew = sequence > lastSequence;
    lastSequence = Math.max(lastSequence, sequence);
    if (isNew && event.get("fleet") instanceof JsonObject fleet) {
      JsonArray entries = fleet.getAsJsonArray("endpoints");
      List<Endpoint> endpoints = JsonFields.readEndpoints(entries, this::endpoint, counters);
      // A snapshot with a malformed entry is applied as a delta: as a full list, it would remove
      // the worker of that entry.
      boolean complete =
          fleet.has("snapshot")
              && fleet.get("snapshot").getAsBoolean()
              && endpoints.size() == entries.size();
      dispatchLoop.updateWorkers(
          !complete ? ListKind.DELTA : first ? ListKind.CACHED : ListKind.FULL, endpoints);
    }
  }

  private Endpoint endpoint(JsonObject entry) {
    String address = entry.get("address").getAsString();
    int colon = address.lastIndexOf(':');
    return new Endpoint(
        entry.get("name").getAsString(),
        address.substring(0, colon),
        Integer.parseInt(address.substring(colon + 1)),
        indexOf(names.zones(), text(entry, "zone")),
        indexOf(names.kinds(), text(entry, "type")),
        (int) number(entry, "group"),
        state(text(entry, "status")),
        number(entry, "weight"),
        (long) number(entry, "since_ms") * 1_000);
  }

  /** An unknown status counts as draining, the strictest state that keeps the worker. */
  private static WorkerState state(String status) {
    return switch (status) {
      case "in_service" -> WorkerState.READY;
      case "terminated" -> WorkerState.GONE;
      default -> WorkerState.DRAINING;
    };
  }
}
