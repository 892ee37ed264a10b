package umberrun.lease.net;

import com.google.gson.JsonObject;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.SocketAddress;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import umberrun.stats.Counters;
import umberrun.stats.Counters.Count;

/**
 * Task of the duty {@code beacon}: its holder periodically reports on the fleet to an address of
 * the operators, by HTTP POST with its fence. A receiver that has seen a higher fence answers 409,
 * and the holder gives the duty back.
 */
final class FleetReporter implements DutyRunner.DutyTask {
  private static final String PATH = "/v1/beacon";
  private static final int TIMEOUT_MILLIS = 1_000;
  private static final int IDLE_TIMEOUT_SECONDS = 2;
  private static final int CONFLICT = 409;

  private final Vertx vertx;
  private final HttpClient client;
  private final SocketAddress receiver;
  private final long intervalMillis;
  private final Counters counters;
  private final Supplier<JsonObject> report;
  private final Runnable onRefused;
  private long timer = -1;
  private long sequence;

  /**
   * @param report creates the body of a report, to which the fence and a sequence number are added
   * @param onRefused called when the receiver has seen a higher fence
   */
  FleetReporter(
      Vertx vertx,
      SocketAddress receiver,
      long intervalMillis,
      Counters counters,
      Supplier<JsonObject> report,
      Runnable onRefused) {
    this.vertx = vertx;
    this.client =
        vertx.createHttpClient(
            new HttpClientOptions()
                .setConnectTimeout(TIMEOUT_MILLIS)
                .setIdleTimeout(IDLE_TIMEOUT_SECONDS));
    this.receiver = receiver;
    this.intervalMillis = intervalMillis;
    this.counters = counters;
    this.report = report;
    this.onRefused = onRefused;
  }

  @Override
  public void start(LongSupplier activeFence) {
    stop();
    sendReport(activeFence);
    timer = vertx.setPeriodic(intervalMillis, t -> sendReport(activeFence));
  }

  private void sendReport(LongSupplier activeFence) {
    JsonObject body = report.get();
    // Checked last: the process may have been suspended past its lease while the body was made.
    long fence = activeFence.getAsLong();
    if (fence < 0) {
      return;
    }
    body.addProperty("fence", fence);
    body.addProperty("seq", ++sequence);
    counters.add(Count.LEASE_ACTS);
    // A connection error is ignored: the operators notice that no reports arrive.
    client
        .request(HttpMethod.POST, receiver.port(), receiver.host(), PATH)
        .compose(
            request -> {
              // The lease may have expired while the connection was made.
              if (activeFence.getAsLong() != fence) {
                request.reset();
                throw new IllegalStateException("no longer held");
              }
              return request
                  .idleTimeout(TIMEOUT_MILLIS)
                  .putHeader("Content-Type", "application/json")
                  .send(body.toString());
            })
        .onSuccess(
            response -> {
              if (response.statusCode() == CONFLICT) {
                onRefused.run();
              }
            });
  }

  @Override
  public void stop() {
    vertx.cancelTimer(timer);
    timer = -1;
  }
}
