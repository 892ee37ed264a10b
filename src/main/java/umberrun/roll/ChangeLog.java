package umberrun.roll;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import saddlestall.Dispatcher.ListKind;
import saddlestall.Dispatcher.State;
import umberrun.config.Config.Names;
import umberrun.core.Endpoint;
import umberrun.core.Owner;
import umberrun.stats.Counters;
import umberrun.stats.Counters.Count;

/** The platform's change log, asked again as soon as it has answered. A lost poll is repeated; the list stays. */
public final class ChangeLog implements Roll {
  private static final long POLL_MILLIS = 4_000;
  private static final long SLACK_MILLIS = 1_000;
  private static final long FIRST_RETRY_MILLIS = 20;
  private static final long LAST_RETRY_MILLIS = 640;

  private final Vertx vertx;
  private final HttpClient client;
  private final SocketAddress address;
  private final Owner owner;
  private final Names names;
  private final Counters counters;
  private long seen;
  private long retryMillis = FIRST_RETRY_MILLIS;
  private boolean stopped;

  public ChangeLog(Vertx vertx, SocketAddress address, Owner owner, Names names, Counters counters) {
    this.vertx = vertx;
    this.address = address;
    this.owner = owner;
    this.names = names;
    this.counters = counters;
    this.client = vertx.createHttpClient(new HttpClientOptions().setConnectTimeout((int) SLACK_MILLIS));
  }

  /** Takes the events that came with the configuration. */
  public void known(JsonObject events) {
    take(events);
  }

  @Override
  public void start() {
    poll();
  }

  @Override
  public void stop() {
    stopped = true;
    client.close();
  }

  private void poll() {
    if (stopped) {
      return;
    }
    client.request(new RequestOptions().setServer(address).setHost(address.host()).setPort(address.port())
            .setMethod(HttpMethod.GET).setURI("/changes?since=" + seen + "&timeout=" + POLL_MILLIS)
            .setTimeout(POLL_MILLIS + SLACK_MILLIS))
        .compose(r -> r.send())
        .compose(r -> r.statusCode() == 200 ? r.body() : Future.failedFuture("status " + r.statusCode()))
        .compose(this::read)
        .onComplete(v -> {
          retryMillis = FIRST_RETRY_MILLIS;
          poll();
        }, e -> retry());
  }

  private Future<Void> read(Buffer body) {
    try {
      take(JsonParser.parseString(body.toString()).getAsJsonObject());
      return Future.succeededFuture();
    } catch (JsonParseException | IllegalStateException | NumberFormatException e) {
      return Future.failedFuture(e);
    }
  }

  private void retry() {
    if (!stopped) {
      counters.add(Count.POLLS_LOST);
      vertx.setTimer(retryMillis, t -> poll());
      retryMillis = Math.min(LAST_RETRY_MILLIS, 2 * retryMillis);
    }
  }

  private void take(JsonObject events) {
    if (events.get("results") instanceof JsonArray results) {
      for (JsonElement e : results) {
        JsonObject event = e.getAsJsonObject();
        long seq = event.get("seq").getAsLong();
        if (seq > seen && event.get("fleet") instanceof JsonObject fleet) {
          boolean whole = fleet.has("snapshot") && fleet.get("snapshot").getAsBoolean();
          ListKind kind = !whole ? ListKind.DELTA : seen == 0 ? ListKind.CACHED : ListKind.FULL;
          owner.list(kind, endpoints(fleet));
        }
        seen = Math.max(seen, seq);
      }
    }
    if (events.has("seq")) {
      seen = Math.max(seen, events.get("seq").getAsLong());
    }
  }

  private List<Endpoint> endpoints(JsonObject fleet) {
    List<Endpoint> list = new ArrayList<>();
    for (JsonElement e : fleet.getAsJsonArray("endpoints")) {
      JsonObject o = e.getAsJsonObject();
      String address = o.get("address").getAsString();
      int colon = address.lastIndexOf(':');
      list.add(new Endpoint(o.get("name").getAsString(), address.substring(0, colon),
          Integer.parseInt(address.substring(colon + 1)), place(names.zones(), text(o, "zone")),
          place(names.kinds(), text(o, "type")), (int) number(o, "group"), state(text(o, "status")),
          number(o, "weight"), (long) number(o, "since_ms") * 1_000));
    }
    return list;
  }

  /** Unknown names share a place of their own, behind all known ones. */
  static int place(List<String> names, String name) {
    int at = names.indexOf(name);
    return at < 0 ? names.size() : at;
  }

  private static State state(String word) {
    return switch (word) {
      case "in_service" -> State.READY;
      case "terminated" -> State.GONE;
      default -> State.DRAINING; // an unknown word gets the strictest reading that keeps the worker
    };
  }

  private static String text(JsonObject o, String key) {
    return o.has(key) && !o.get(key).isJsonNull() ? o.get(key).getAsString() : "";
  }

  private static double number(JsonObject o, String key) {
    return o.has(key) && !o.get(key).isJsonNull() ? o.get(key).getAsDouble() : 0;
  }
}
