package umberrun.roll;

import com.google.gson.JsonElement;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.SocketAddress;
import java.util.function.Supplier;
import umberrun.stats.Counters;
import umberrun.stats.Counters.Count;

/** Asks a server that answers late, over and over: at once when it has answered, after a wait when it has not. */
final class Poller {
  /** One round: asks, and takes in what was answered. */
  interface Round extends Supplier<Future<Void>> { }

  private static final long SLACK_MILLIS = 1_000;
  private static final long FIRST_RETRY_MILLIS = 20;
  private static final long LAST_RETRY_MILLIS = 640;

  private final Vertx vertx;
  private final HttpClient client;
  private final SocketAddress address;
  private final Counters counters;
  private long retryMillis = FIRST_RETRY_MILLIS;

  Poller(Vertx vertx, SocketAddress address, Counters counters) {
    this.vertx = vertx;
    this.address = address;
    this.counters = counters;
    this.client = vertx.createHttpClient(new HttpClientOptions().setConnectTimeout((int) SLACK_MILLIS));
  }

  /** Repeats a round as long as the process lives. */
  void repeat(Round round) {
    attempt(round).onComplete(v -> {
      retryMillis = FIRST_RETRY_MILLIS;
      repeat(round);
    }, e -> retryLater(() -> repeat(round)));
  }

  /** Carries a round out once, however many tries that takes. */
  void once(Round round) {
    attempt(round).onFailure(e -> retryLater(() -> once(round)));
  }

  /** Guards the polling against an answer of another form than expected: it counts as lost. */
  private static Future<Void> attempt(Round round) {
    return Future.<Void>succeededFuture().compose(v -> round.get());
  }

  private void retryLater(Runnable again) {
    counters.add(Count.POLLS_LOST);
    vertx.setTimer(retryMillis, t -> again.run());
    retryMillis = Math.min(LAST_RETRY_MILLIS, 2 * retryMillis);
  }

  /** One request; the answer if its status is 200, with its body read. */
  Future<Answer> ask(HttpMethod method, String uri, Buffer body, long millis) {
    return client.request(new RequestOptions().setServer(address).setHost(address.host()).setPort(address.port())
            .setMethod(method).setURI(uri).setTimeout(millis + SLACK_MILLIS))
        .compose(r -> r.send(body)).compose(r -> r.statusCode() == 200 ? r.body().map(b -> new Answer(r, b))
            : Future.failedFuture("status " + r.statusCode()));
  }

  record Answer(HttpClientResponse response, Buffer body) {
    JsonElement json() throws JsonParseException {
      return JsonParser.parseString(body.toString());
    }
  }
}
