package umberrun.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;

/**
 * Limits what the input of an HTTP client can make this process keep.
 *
 * <ul>
 *   <li>A request head may have a limited number of lines, since the objects that stand for a short
 *       header field take many times its bytes. A connection that exceeds it is closed. Input is
 *       passed on to the decoder in small pieces, and the line ends are counted since the decoder
 *       last produced something.
 *   <li>Nothing is read while responses wait that the client does not read.
 *   <li>Nothing more is decoded while reading is paused, as it is for further requests of a client
 *       that does not wait for a response. What one turn has read waits as bytes.
 * </ul>
 */
public final class HttpInputLimit extends ChannelDuplexHandler {
  /** The most lines of a request head. */
  public static final int MAX_HEAD_LINES = 64;

  private static final int PIECE_BYTES = 256;

  /** The name that Vert.x gives to its decoder. */
  private static final String DECODER = "httpDecoder";

  private final Runnable onTooManyLines;

  /** Line ends since the decoder last produced something. */
  private int lines;

  /** Input that waits to be decoded, or null. */
  private ByteBuf pending;

  private boolean decoding;

  private HttpInputLimit(Runnable onTooManyLines) {
    this.onTooManyLines = onTooManyLines;
  }

  /**
   * Limits a connection that was accepted.
   *
   * @param onTooManyLines runs when the connection is closed for a head with too many lines
   */
  public static void apply(HttpConnection connection, Runnable onTooManyLines) {
    ChannelPipeline pipeline = ((ConnectionBase) connection).channelHandlerContext().pipeline();
    HttpInputLimit limit = new HttpInputLimit(onTooManyLines);
    pipeline.addBefore(DECODER, "inputLimit", limit);
    pipeline.addAfter(DECODER, "decodedInput", limit.new DecodedInput());
  }

  /** Sees what the decoder produces: a head is complete, or the input belongs to a body. */
  private final class DecodedInput extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      lines = 0;
      context.fireChannelRead(message);
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (!(message instanceof ByteBuf input)) {
      context.fireChannelRead(message);
      return;
    }
    // Usually nothing is pending, as nothing is read while it is.
    pending = pending == null ? input : Unpooled.wrappedBuffer(pending, input);
    decode(context);
  }

  /** Called when reading goes on. */
  @Override
  public void read(ChannelHandlerContext context) {
    if (pending != null && !decoding) {
      decode(context);
      context.fireChannelReadComplete();
    }
    if (pending == null) {
      context.read();
    }
  }

  private void decode(ChannelHandlerContext context) {
    decoding = true;
    try {
      while (pending != null && mayDecode(context)) {
        decodePiece(context);
      }
    } finally {
      decoding = false;
    }
  }

  private void decodePiece(ChannelHandlerContext context) {
    ByteBuf input = pending;
    ByteBuf piece = input.readRetainedSlice(Math.min(PIECE_BYTES, input.readableBytes()));
    if (!input.isReadable()) {
      pending = null;
      input.release();
    }
    lines += countLineEnds(piece);
    context.fireChannelRead(piece);
    if (lines > MAX_HEAD_LINES) {
      onTooManyLines.run();
      context.close();
    }
  }

  private static boolean mayDecode(ChannelHandlerContext context) {
    return context.channel().config().isAutoRead() && context.channel().isActive();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    if (pending != null) {
      pending.release();
      pending = null;
    }
    context.fireChannelInactive();
  }

  private static int countLineEnds(ByteBuf piece) {
    int count = 0;
    for (int i = piece.readerIndex(); i < piece.writerIndex(); i++) {
      count += piece.getByte(i) == '\n' ? 1 : 0;
    }
    return count;
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (context.channel() instanceof ConnectionInput input) {
      if (context.channel().isWritable()) {
        input.resume();
      } else {
        input.pause();
      }
    }
    context.fireChannelWritabilityChanged();
  }
}
