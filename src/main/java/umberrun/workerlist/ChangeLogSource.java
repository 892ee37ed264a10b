package umberrun.workerlist;

import static umberrun.workerlist.JsonFields.number;
import static umberrun.workerlist.JsonFields.place;
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
 * The platform's change log, asked again as soon as it has answered. A lost poll is repeated; the
 * list stays.
 */
public final class ChangeLogSource implements WorkerListSource {
  /** Short, since a log that stops is only noticed when the wait is over. */
  private static final long POLL_MILLIS = 1_000;

  /** The wait asked for while the log was not heard: whether it is back is to be known soon. */
  private static final long CHECK_MILLIS = 50;

  private final LongPoller poller;
  private final DispatchLoop owner;
  private final Clock clock;
  private final SettingNames names;
  private final Counters counters;
  private long seen;

  /** Whether the last poll that ended was answered. */
  private boolean answers;

  public ChangeLogSource(
      Vertx vertx,
      SocketAddress address,
      DispatchLoop owner,
      Clock clock,
      SettingNames names,
      Counters counters) {
    this.owner = owner;
    this.clock = clock;
    this.names = names;
    this.counters = counters;
    this.poller = new LongPoller(vertx, address, counters);
  }

  /** Takes the events that came with the configuration. */
  public void loadInitial(JsonObject events) {
    take(events);
  }

  @Override
  public void start() {
    poller.repeat(POLL_MILLIS, this::poll);
  }

  private Future<Void> poll() {
    long askedAt = clock.now();
    long wait = answers ? POLL_MILLIS : CHECK_MILLIS;
    return poller
        .ask(
            HttpMethod.GET,
            "/changes?since=" + seen + "&timeout=" + wait,
            Buffer.buffer(),
            wait + LongPoller.LATE_MILLIS)
        .<Void>map(
            answer -> {
              JsonObject events = answer.json().getAsJsonObject();
              long last = (long) number(events, "seq");
              if (last > 0 && last < seen) {
                throw new IllegalStateException(
                    "the log is behind what it told before"); // and so proves nothing of now
              }
              take(events);
              return null;
            })
        .onSuccess(
            v -> {
              answers = true;
              owner.discovery().onResponse(askedAt);
            })
        .onFailure(
            e -> {
              answers = false;
              if (e instanceof LongPoller.ResponseAborted) {
                owner.discovery().onResponseAborted();
              }
            });
  }

  /** The log answers at another address from now on; its numbers go on. */
  public void moveTo(SocketAddress address) {
    poller.moveTo(address);
  }

  private void take(JsonObject events) {
    if (events.get("results") instanceof JsonArray results) {
      for (JsonElement e : results) {
        // One that can't be read is passed over, as a line is: guards the list against the same
        // event with each poll, for good.
        JsonFields.readable(
            () -> {
              take(e.getAsJsonObject().get("seq").getAsLong(), e.getAsJsonObject());
              return null;
            },
            counters);
      }
    }
    seen = Math.max(seen, (long) number(events, "seq"));
  }

  private void take(long seq, JsonObject event) {
    boolean first = seen == 0;
    boolean news = seq > seen;
    seen = Math.max(seen, seq);
    if (news && event.get("fleet") instanceof JsonObject fleet) {
      JsonArray lines = fleet.getAsJsonArray("endpoints");
      List<Endpoint> endpoints = JsonFields.each(lines, this::endpoint, counters);
      // A whole list with a line that can't be read is not taken for whole: the worker in it would
      // be gone.
      boolean whole =
          fleet.has("snapshot")
              && fleet.get("snapshot").getAsBoolean()
              && endpoints.size() == lines.size();
      owner.updateWorkers(
          !whole ? ListKind.DELTA : first ? ListKind.CACHED : ListKind.FULL, endpoints);
    }
  }

  private Endpoint endpoint(JsonObject o) {
    String address = o.get("address").getAsString();
    int colon = address.lastIndexOf(':');
    return new Endpoint(
        o.get("name").getAsString(),
        address.substring(0, colon),
        Integer.parseInt(address.substring(colon + 1)),
        place(names.zones(), text(o, "zone")),
        place(names.kinds(), text(o, "type")),
        (int) number(o, "group"),
        state(text(o, "status")),
        number(o, "weight"),
        (long) number(o, "since_ms") * 1_000);
  }

  private static WorkerState state(String word) {
    return switch (word) {
      case "in_service" -> WorkerState.READY;
      case "terminated" -> WorkerState.GONE;
      default ->
          WorkerState.DRAINING; // an unknown word gets the strictest reading that keeps the worker
    };
  }
}
