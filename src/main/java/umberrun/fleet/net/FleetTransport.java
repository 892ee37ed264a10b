package umberrun.fleet.net;

import com.google.gson.JsonPrimitive;
import io.netty.channel.ConnectTimeoutException;
import io.netty.util.NetUtil;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramPacket;
import io.vertx.core.datagram.DatagramSocket;
import io.vertx.core.datagram.DatagramSocketOptions;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.SocketAddress;
import java.net.ConnectException;
import java.util.ArrayList;
import java.util.List;
import umberrun.admission.ConnectionLimits;
import umberrun.admission.ConnectionLimits.Purpose;
import umberrun.admission.TokenBucket;
import umberrun.config.FleetOptions;
import umberrun.core.Clock;
import umberrun.fleet.Claim;
import umberrun.fleet.GossipMessage;
import umberrun.fleet.net.FleetCodec.Frame;
import umberrun.fleet.net.FleetCodec.TopicMessage;
import umberrun.fleet.net.FleetCodec.UndecodableException;
import umberrun.stats.Counters;
import umberrun.stats.Counters.Count;

/**
 * Sends and receives datagrams and full exchanges on one address, on the event loop. Packets and
 * bytes per second are limited; what exceeds a limit is dropped and counted, as if the network had
 * lost it.
 */
final class FleetTransport {
  /** Handles incoming messages and requests. */
  interface Listener {
    void onMessage(GossipMessage message);

    /** Whether the event loop has time for a full exchange; calls have priority. */
    boolean canExchange();

    /** Applies the claims of another member and returns those to send back. */
    List<Claim> merge(List<Claim> theirs);

    /** Returns the view as JSON, for an operator. */
    String view();

    /** Handles an operator's request to leave the fleet; returns the answer as JSON. */
    String leave();

    void onTopicMessage(TopicMessage message);

    /** Handles an operator's request to a topic; the future completes with the answer. */
    Future<String> onOperatorCall(String words);
  }

  /** Thrown when a full exchange failed. */
  static final class UnreachableException extends Exception {
    private static final long serialVersionUID = 1;

    /** Whether the machine refused the connection, so that no process listens there. */
    final boolean refused;

    UnreachableException(String message, boolean refused) {
      super(message, null, false, false);
      this.refused = refused;
    }
  }

  private static final int EXCHANGE_TIMEOUT_MILLIS = 2_000;
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
  private static final int IDLE_TIMEOUT_SECONDS = 3;

  /** The typical size of a claim in a frame, to estimate the bytes of an exchange in advance. */
  private static final int ESTIMATED_CLAIM_BYTES = 130;

  private final Vertx vertx;
  private final Clock clock;
  private final Counters counters;
  private final ConnectionLimits connectionLimits;
  private final FleetOptions options;
  private final FleetCodec codec;
  private final Listener listener;
  private final NetClient client;
  private final TokenBucket packetsOut;
  private final TokenBucket packetsIn;
  private final TokenBucket bytesOut;
  private final TokenBucket bytesIn;
  private DatagramSocket datagrams;
  private NetServer server;

  FleetTransport(
      Vertx vertx,
      Clock clock,
      Counters counters,
      ConnectionLimits connectionLimits,
      FleetOptions options,
      Listener listener) {
    this.vertx = vertx;
    this.clock = clock;
    this.counters = counters;
    this.connectionLimits = connectionLimits;
    this.options = options;
    this.codec = new FleetCodec(options.name());
    this.listener = listener;
    this.client =
        vertx.createNetClient(
            new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS).setTcpNoDelay(true));
    long now = clock.now();
    packetsOut = new TokenBucket(options.packetsPerSecond(), options.packetsPerSecond(), now);
    packetsIn = new TokenBucket(options.packetsPerSecond(), options.packetsPerSecond(), now);
    bytesOut = new TokenBucket(options.bytesPerSecond(), options.bytesPerSecond(), now);
    bytesIn = new TokenBucket(options.bytesPerSecond(), options.bytesPerSecond(), now);
  }

  /**
   * Opens the TCP and UDP sockets on the configured address. The future completes with the port; if
   * it fails, neither socket stays open.
   */
  Future<Integer> listen() {
    server =
        vertx
            .createNetServer(
                new NetServerOptions()
                    .setTcpNoDelay(true)
                    .setReuseAddress(true)
                    .setIdleTimeout(IDLE_TIMEOUT_SECONDS))
            .connectHandler(this::accept);
    datagrams = vertx.createDatagramSocket(new DatagramSocketOptions()).handler(this::onDatagram);
    return server
        .listen(options.listen())
        .compose(s -> datagrams.listen(s.actualPort(), options.listen().host()).map(s.actualPort()))
        .onFailure(e -> close());
  }

  /** Closes both sockets at once. */
  void close() {
    server.close();
    datagrams.close();
  }

  // ---------------------------------------------------------------- datagrams

  /** Sends a datagram of the membership protocol; nothing reports its loss. */
  void send(String address, GossipMessage message) {
    SocketAddress to = resolve(address);
    byte[] bytes = codec.encode(message);
    if (to == null
        || packetsOut.take(1, clock.now()) > 0
        || bytesOut.take(bytes.length, clock.now()) > 0) {
      counters.add(Count.FLEET_PACKETS_DROPPED);
      return;
    }
    counters.add(Count.FLEET_PACKETS_SENT);
    datagrams
        .send(Buffer.buffer(bytes), to.port(), to.host())
        .onFailure(e -> counters.add(Count.FLEET_PACKETS_DROPPED));
  }

  /**
   * Sends a topic message, as a datagram if it fits into one and over a connection otherwise;
   * nothing reports its loss.
   */
  void send(String address, TopicMessage message) {
    byte[] bytes = codec.encode(message);
    SocketAddress to = resolve(address);
    if (to == null
        || packetsOut.take(1, clock.now()) > 0
        || bytesOut.take(bytes.length, clock.now()) > 0) {
      counters.add(Count.FLEET_PACKETS_DROPPED);
    } else if (bytes.length <= FleetCodec.MAX_DATAGRAM_BYTES) {
      counters.add(Count.FLEET_PACKETS_SENT);
      datagrams
          .send(Buffer.buffer(bytes), to.port(), to.host())
          .onFailure(e -> counters.add(Count.FLEET_PACKETS_DROPPED));
    } else if (bytes.length <= FleetCodec.MAX_FRAME_BYTES
        && connectionLimits.tryAcquire(Purpose.PEERS)) {
      client
          .connect(to)
          .onFailure(e -> connectionLimits.release(Purpose.PEERS))
          .onSuccess(
              socket -> {
                // A receiver that does not read must not hold the connection for ever.
                long timer = vertx.setTimer(EXCHANGE_TIMEOUT_MILLIS, t -> socket.close());
                socket.exceptionHandler(e -> socket.close());
                socket.closeHandler(
                    v -> {
                      vertx.cancelTimer(timer);
                      connectionLimits.release(Purpose.PEERS);
                    });
                FrameStream.send(socket, bytes).onSuccess(v -> socket.close());
              });
    } else {
      counters.add(Count.FLEET_PACKETS_DROPPED);
    }
  }

  private void onDatagram(DatagramPacket packet) {
    if (packetsIn.take(1, clock.now()) > 0
        || bytesIn.take(packet.data().length(), clock.now()) > 0) {
      counters.add(Count.FLEET_PACKETS_DROPPED);
      return;
    }
    try {
      byte[] bytes = packet.data().getBytes();
      TopicMessage topicMessage = codec.decodeTopicMessage(bytes);
      if (topicMessage != null) {
        counters.add(Count.FLEET_PACKETS_TAKEN);
        listener.onTopicMessage(topicMessage);
        return;
      }
      GossipMessage message = codec.decodeMessage(bytes);
      counters.add(Count.FLEET_PACKETS_TAKEN);
      listener.onMessage(message);
    } catch (UndecodableException e) {
      countUndecodable(e);
    }
  }

  private void countUndecodable(UndecodableException e) {
    counters.add(e.foreign ? Count.FLEET_FOREIGN : Count.FLEET_UNREADABLE);
  }

  /**
   * Returns the socket address for a member address, with the configured substitutions applied;
   * null if it is not an IP address with a port, as host names are not resolved.
   */
  private SocketAddress resolve(String address) {
    String target = options.via().getOrDefault(address, address);
    int colon = target.lastIndexOf(':');
    if (colon <= 0
        || !NetUtil.isValidIpV4Address(target.substring(0, colon))
            && !NetUtil.isValidIpV6Address(target.substring(0, colon))) {
      return null;
    }
    try {
      int port = Integer.parseInt(target.substring(colon + 1));
      return port > 0 && port <= 65_535
          ? SocketAddress.inetSocketAddress(port, target.substring(0, colon))
          : null;
    } catch (NumberFormatException e) {
      return null;
    }
  }

  // ---------------------------------------------------------------- full exchanges

  /**
   * Sends the given claims to an address and completes with the claims that it sends back. Fails
   * with {@link UnreachableException}, at the latest after the timeouts for the connection and the
   * exchange.
   */
  Future<List<Claim>> exchange(String address, List<Claim> mine) {
    SocketAddress to = resolve(address);
    if (to == null
        || bytesOut.take((double) ESTIMATED_CLAIM_BYTES * mine.size(), clock.now()) > 0
        || !connectionLimits.tryAcquire(Purpose.PEERS)) {
      return Future.failedFuture(
          new UnreachableException(
              "invalid address, or a limit of bytes or connections is reached", false));
    }
    counters.add(Count.FLEET_EXCHANGES);
    Promise<List<Claim>> result = Promise.promise();
    client
        .connect(to)
        .onFailure(
            e -> {
              connectionLimits.release(Purpose.PEERS);
              result.tryFail(
                  new UnreachableException(
                      String.valueOf(e.getMessage()),
                      e instanceof ConnectException && !(e instanceof ConnectTimeoutException)));
            })
        .onSuccess(
            socket -> {
              long timer = vertx.setTimer(EXCHANGE_TIMEOUT_MILLIS, t -> socket.close());
              List<Claim> theirs = new ArrayList<>();
              FrameStream stream =
                  new FrameStream(
                      codec,
                      socket,
                      topicMessage -> {},
                      frame -> {
                        if (collect(theirs, frame)) {
                          result.tryComplete(theirs);
                          socket.close();
                        }
                      },
                      this::countUndecodable);
              socket.exceptionHandler(e -> socket.close());
              socket.closeHandler(
                  v -> {
                    vertx.cancelTimer(timer);
                    connectionLimits.release(Purpose.PEERS);
                    result.tryFail(
                        new UnreachableException("the connection was closed or timed out", false));
                  });
              stream.send(mine);
            });
    return result.future();
  }

  /**
   * Adds the claims of a frame to a list; returns whether the list is complete. Claims beyond the
   * configured number of members are ignored, so that an endless list can't exhaust the memory.
   */
  private boolean collect(List<Claim> claims, Frame frame) {
    if (frame.kind() != Frame.Kind.SYNC) {
      return false;
    }
    if (claims.size() <= options.maxMembers()) {
      claims.addAll(frame.claims());
    }
    return frame.last();
  }

  private void accept(NetSocket socket) {
    // The file descriptors are limited; the other member can exchange with somebody else.
    if (!connectionLimits.tryAcquire(Purpose.PEERS)) {
      socket.close();
      return;
    }
    // A slow sender must not hold the connection for ever.
    long timer = vertx.setTimer(EXCHANGE_TIMEOUT_MILLIS, t -> socket.close());
    socket.exceptionHandler(e -> socket.close());
    socket.closeHandler(
        v -> {
          vertx.cancelTimer(timer);
          connectionLimits.release(Purpose.PEERS);
        });
    List<Claim> theirs = new ArrayList<>();
    FrameStream[] stream = new FrameStream[1];
    stream[0] =
        new FrameStream(
            codec,
            socket,
            listener::onTopicMessage,
            frame -> {
              if (!listener.canExchange() && frame.kind() == Frame.Kind.SYNC) {
                socket.close();
              } else if (frame.kind() == Frame.Kind.CALL) {
                listener
                    .onOperatorCall(frame.text())
                    .onComplete(
                        answer -> stream[0].send(frame.kind(), answer),
                        e ->
                            stream[0].send(
                                frame.kind(),
                                "{\"fault\":"
                                    + new JsonPrimitive(String.valueOf(e.getMessage()))
                                    + "}"));
              } else if (frame.kind() != Frame.Kind.SYNC) {
                stream[0].send(
                    frame.kind(),
                    frame.kind() == Frame.Kind.VIEW ? listener.view() : listener.leave());
              } else if (collect(theirs, frame)) {
                List<Claim> mine = listener.merge(theirs);
                if (bytesOut.take((double) ESTIMATED_CLAIM_BYTES * mine.size(), clock.now()) > 0) {
                  socket.close();
                } else {
                  stream[0].send(mine);
                }
              }
            },
            this::countUndecodable);
  }
}
